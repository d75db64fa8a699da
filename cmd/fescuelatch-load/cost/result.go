package cost

// This file defines the result of a run.

// Result is the result of a run, as stored in docs/capacity/slopes.json.
type Result struct {
	Settings      Settings `json:"settings"`
	Latency       Latency  `json:"latency"`
	TargetTraffic Busy     `json:"busy"`
	Points        []Point  `json:"points"`
	Slopes        Slopes   `json:"slopes"`
}
