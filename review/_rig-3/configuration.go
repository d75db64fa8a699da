package main

import "fmt"

// key is that of the clients' tenant.
const key = "n2ctnfzs989anu6wsjnb"

// configurationText has a route for requests that may run once, as those of a small deployment.
const configurationText = `{"version":%d,
 "routes":[{"name":"r-set","host":"ficu95.example","path_prefix":"/set/","kind":"non_idempotent","timeout_ms":%d,"target_latency_ms":300,"priority":2,"service":"tracker","max_attempts":1,"public":false}%s],
 "services":[{"name":"tracker","health_path":"/healthz","max_connections":110,"cold_start_s":0.0,"cold_per_s":0.0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["` + key + `"%s],"priority":1}%s]}`

// configuration returns a configuration with a timeout, and with further routes, keys and tenants.
func configuration(version, timeoutMS int, routes, keys, tenants string) string {
	return fmt.Sprintf(configurationText, version, timeoutMS, routes, keys, tenants)
}

const host = "ficu95.example"
