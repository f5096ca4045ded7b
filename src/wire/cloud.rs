//! Messages of the cloud API.

use crate::ids::{Host, MachineTypeId, Zone};
use serde::{Deserialize, Serialize};

/// Response with the available machine types.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All machine types.
    #[serde(rename = "Builds")]
    pub builds: Vec<MachineType>,
}

/// A machine type.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "Label")]
    pub build: MachineTypeId,
    /// CPUs of a machine.
    #[serde(rename = "Vcpus")]
    pub cpus: f64,
    /// Accelerators of a machine.
    #[serde(rename = "Accelerators", default)]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "RamGb")]
    pub memory_gb: f64,
    /// Image cache of a machine, in GB.
    #[serde(rename = "LocalGb", default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB/s.
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    #[serde(rename = "Hourly", default)]
    pub price: f64,
    /// Price of a spot instance per hour; none if not offered.
    #[serde(rename = "SpotPrice", default)]
    pub spot_price: Option<f64>,
    /// Typical boot time in seconds.
    #[serde(rename = "BootS", default)]
    pub boot_s: f64,
    /// Zones where it can be rented.
    #[serde(rename = "Yards", default)]
    pub zones: Vec<Zone>,
}

/// A request to rent machines; idempotent by its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Name of the request, by which the cloud knows a repetition.
    #[serde(rename = "Hire")]
    pub name: String,
    /// The machine type.
    #[serde(rename = "Build")]
    pub build: MachineTypeId,
    /// The zone.
    #[serde(rename = "Yard")]
    pub zone: Zone,
    /// Whether spot instances are wanted.
    #[serde(rename = "Lendable")]
    pub spot: bool,
    /// Maximum number of machines.
    #[serde(rename = "HowMany")]
    pub count: u32,
}

/// Names of machines that were rented, or are to be returned.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hosts {
    /// Their names.
    #[serde(rename = "Hosts")]
    pub hosts: Vec<Host>,
}

/// A page of the rented machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostList {
    /// The machines of this page.
    #[serde(rename = "Hosts")]
    pub hosts: Vec<ListedHost>,
    /// Whether another page follows.
    #[serde(rename = "Truncated", default)]
    pub more: bool,
}

/// A machine as listed by the cloud.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedHost {
    /// Its name.
    #[serde(rename = "Id")]
    pub host: Host,
    /// Address of its worker for direct calls, once known.
    #[serde(rename = "Endpoint", default)]
    pub addr: Option<String>,
    /// Its machine type.
    #[serde(rename = "Build")]
    pub build: MachineTypeId,
    /// Its zone.
    #[serde(rename = "Yard")]
    pub zone: Zone,
    /// Whether it is a spot instance.
    #[serde(rename = "Lendable", default)]
    pub spot: bool,
    /// `booting`, `running`, or `failed` if it stopped on its own.
    #[serde(rename = "Status")]
    pub status: String,
    /// Seconds since it was requested.
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}
