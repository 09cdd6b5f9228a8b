//! The fields of `FamilyInfo`: scalars and two lists.

use crate::entry::Name;
use crate::error::ConfigError;
use crate::fields::object::{read_fields, ObjectFields};
use crate::fields::value::{FieldValue, JsonHandler, JsonSeed, StoreValue, Strictness};
use crate::limits::{MAX_GAUGES, MAX_METHODS, MAX_SETTING_VALUE};
use serde::de::{Error, MapAccess, SeqAccess};

const GAUGES_KEY: &str = "Gauges";
const SKIP_VALUE_RATIOS_KEY: &str = "ClassSkipWorth";

const FAMILY_INFO_KEYS: &[&str] = &[
    "NCores",
    "RamKb",
    "RunFactor",
    "KbPerKey",
    "Below",
    "CallShare",
    "DepWindowMs",
    "LingerMs",
    "Say",
    "StopMode",
    "FreshMs",
    "IdleMs",
    "Callers",
    "Cold",
    GAUGES_KEY,
    SKIP_VALUE_RATIOS_KEY,
];

/// The fields that were read from `FamilyInfo`.
#[derive(Clone, Debug)]
pub(crate) struct FamilyInfoFields {
    pub(crate) scalars: ObjectFields,
    /// The names of the gauges; `None` if they were not given.
    pub(crate) gauges: Option<Vec<Name>>,
    /// For each method, in the order of the list of methods, the fraction of its value that a response without the
    /// upstream call is worth; empty if not given.
    pub(crate) skip_value_ratios: Vec<f64>,
}

impl FamilyInfoFields {
    pub(crate) fn new(strictness: Strictness) -> FamilyInfoFields {
        FamilyInfoFields {
            scalars: ObjectFields::new(FAMILY_INFO_KEYS, strictness),
            gauges: None,
            skip_value_ratios: Vec::new(),
        }
    }
}

/// Reads an object; the output reports whether the value was one.
impl JsonHandler for &mut FamilyInfoFields {
    type Output = bool;

    fn scalar<E: Error>(self, _: FieldValue) -> Result<bool, E> {
        Ok(false)
    }

    fn object<'d, A: MapAccess<'d>>(self, object: A) -> Result<bool, A::Error> {
        let strictness = self.scalars.strictness();
        read_fields(object, FAMILY_INFO_KEYS, strictness, |key, object| {
            match key.name {
                GAUGES_KEY => self.gauges = Some(object.next_value_seed(JsonSeed(GaugeNames(strictness)))?),
                SKIP_VALUE_RATIOS_KEY if strictness == Strictness::Strict => {
                    return Err(A::Error::custom(ConfigError::UnknownField(key.name.into())));
                }
                SKIP_VALUE_RATIOS_KEY => {
                    self.skip_value_ratios = object.next_value_seed(JsonSeed(SkipValueRatios))?
                }
                _ => self.scalars.read_value(key.index, object)?,
            }
            Ok(())
        })?;
        Ok(true)
    }
}

/// Handler for the list of gauges. Lenient reading skips elements that are not strings.
struct GaugeNames(Strictness);

impl JsonHandler for GaugeNames {
    type Output = Vec<Name>;

    fn scalar<E: Error>(self, value: FieldValue) -> Result<Vec<Name>, E> {
        if self.0 == Strictness::Strict && value != FieldValue::Null {
            return Err(E::custom(ConfigError::InvalidField(GAUGES_KEY)));
        }
        Ok(Vec::new())
    }

    fn array<'d, A: SeqAccess<'d>>(self, mut array: A) -> Result<Vec<Name>, A::Error> {
        let mut names: Vec<Name> = Vec::new();
        while let Some(value) = array.next_element_seed(JsonSeed(StoreValue))? {
            match value {
                FieldValue::Text(name) => names.push(name.into()),
                _ if self.0 == Strictness::Strict => {
                    return Err(A::Error::custom(ConfigError::InvalidField(GAUGES_KEY)));
                }
                _ => {}
            }
            if names.len() > MAX_GAUGES {
                return Err(A::Error::custom(ConfigError::too_many_gauges()));
            }
        }
        Ok(names)
    }
}

/// Handler for the list of ratios. Elements that are not numbers count as 0.
struct SkipValueRatios;

impl JsonHandler for SkipValueRatios {
    type Output = Vec<f64>;

    fn scalar<E: Error>(self, _: FieldValue) -> Result<Vec<f64>, E> {
        Ok(Vec::new())
    }

    fn array<'d, A: SeqAccess<'d>>(self, mut array: A) -> Result<Vec<f64>, A::Error> {
        let mut ratios = Vec::new();
        while let Some(value) = array.next_element_seed(JsonSeed(StoreValue))? {
            // Elements beyond the largest number of methods belong to no method and are skipped.
            if ratios.len() >= MAX_METHODS {
                continue;
            }
            ratios.push(match value {
                FieldValue::Number(ratio) => ratio.clamp(0.0, MAX_SETTING_VALUE) + 0.0,
                _ => 0.0,
            });
        }
        Ok(ratios)
    }
}
