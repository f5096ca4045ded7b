//! Talk with the cloud.

use crate::ids::{Build, Host, Zone};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Flavors {
    #[serde(rename = "Builds")]
    pub builds: Vec<Flavor>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Flavor {
    #[serde(rename = "Label")]
    pub build: Build,
    #[serde(rename = "Vcpus")]
    pub cpus: f64,
    #[serde(rename = "Accelerators", default)]
    pub gpus: f64,
    #[serde(rename = "RamGb")]
    pub memory_gb: f64,
    #[serde(rename = "LocalGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "Hourly", default)]
    pub price: f64,
    #[serde(rename = "SpotPrice", default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "BootS", default)]
    pub boot_s: f64,
    #[serde(rename = "Yards", default)]
    pub zones: Vec<Zone>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hire {
    #[serde(rename = "Hire")]
    pub name: String,
    #[serde(rename = "Build")]
    pub build: Build,
    #[serde(rename = "Yard")]
    pub zone: Zone,
    #[serde(rename = "Lendable")]
    pub spot: bool,
    #[serde(rename = "HowMany")]
    pub count: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hosts {
    #[serde(rename = "Hosts")]
    pub hosts: Vec<Host>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostList {
    #[serde(rename = "Hosts")]
    pub hosts: Vec<Listed>,
    #[serde(rename = "Truncated", default)]
    pub more: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listed {
    #[serde(rename = "Id")]
    pub host: Host,
    #[serde(rename = "Endpoint", default)]
    pub addr: Option<String>,
    #[serde(rename = "Build")]
    pub build: Build,
    #[serde(rename = "Yard")]
    pub zone: Zone,
    #[serde(rename = "Lendable", default)]
    pub spot: bool,
    #[serde(rename = "Status")]
    pub status: String,
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}
