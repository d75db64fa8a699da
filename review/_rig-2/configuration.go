package main

import (
	"fmt"
	"strings"
)

// This file defines the operator's configuration.

// key is the key of the only tenant.
const key = "n2ctnfzs989anu6wsjnb"

// configuration returns a configuration with routes, given as JSON objects.
func configuration(version int, routes ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[`+
		`{"name":"pool","max_connections":370,"cold_per_s":12,"engine":{"kv_capacity":376325,"models":[{"name":"small-1","cost":0.017},{"name":"large-1","cost":0.26}]}},`+
		`{"name":"app","max_connections":110},{"name":"app2","max_connections":110}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":10000},`+
		`"tenants":[{"name":"hule930","api_keys":["%s"]}]}`, version, strings.Join(routes, ","), key)
}
