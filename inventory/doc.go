// Package inventory reads and writes operators' configuration files: YAML
// files, and CSV files from an asset register.
//
// A YAML file maps names of lists to entries. A CSV file is named after its
// list, for example vms.csv. The lists are failure-domains, vms, models,
// versions, pools, endpoints, services and accounts; a list may be split
// across several files. The fields of an entry are those of the domain types
// in kebab case.
package inventory
