package cost

import "gonum.org/v1/gonum/stat"

// This file defines the slopes: linear fits through the points that differ in
// one dimension.

// Slopes are base and marginal costs, per daemon and second unless noted.
type Slopes struct {
	// Processor time is in cores.
	ProcessorBase         float64 `json:"processor-base"`
	ProcessorPerHeartbeat float64 `json:"processor-per-heartbeat"`
	ProcessorPerEndpoint  float64 `json:"processor-per-owned-endpoint"`
	ProcessorPerRequest   float64 `json:"processor-per-request"`
	ProcessorPerToken     float64 `json:"processor-per-token"`
	// Memory is in bytes.
	MemoryBase        float64 `json:"memory-base"`
	MemoryPerMember   float64 `json:"memory-per-daemon-of-the-failure-domain"`
	MemoryPerEndpoint float64 `json:"memory-per-endpoint-of-the-failure-domain"`
	MemoryPerVersion  float64 `json:"memory-per-version"`
	MemoryPerAccount  float64 `json:"memory-per-account"`
	// A heartbeat is one exchange, sent or received, with its reply.
	HeartbeatBytes           float64 `json:"heartbeat-bytes"`
	HeartbeatBytesPerVersion float64 `json:"heartbeat-bytes-per-version"`
	// LoadedBytesPerVersion is HeartbeatBytesPerVersion under load, when
	// evidence changes.
	LoadedBytesPerVersion float64 `json:"heartbeat-bytes-per-version-loaded"`
	ReportBytes           float64 `json:"report-bytes-per-owned-endpoint"`
	// BusyReportBytes is ReportBytes for an endpoint under load.
	BusyReportBytes float64 `json:"report-bytes-per-owned-endpoint-loaded"`
	// FollowerBytes counts the bytes of an idle follower's platform calls.
	FollowerBytes         float64 `json:"platform-bytes-per-follower"`
	ListBytes             float64 `json:"list-bytes-base"`
	ListBytesPerVM        float64 `json:"list-bytes-per-listed-vm"`
	CopyBytesPerRequest   float64 `json:"peer-bytes-per-request"`
	RatingBytesPerRequest float64 `json:"rating-bytes-per-request"`
	// BillInterval is the number of seconds between bill writes of one
	// loaded daemon.
	BillInterval float64 `json:"seconds-between-bill-writes"`
}

// heartbeatExchanges returns the heartbeats per second that a daemon sends or
// receives.
func (p *Phase) heartbeatExchanges() float64 { return 2 * p.Heartbeats }

// fit returns the regression line y = intercept + slope*x through the points
// that differ from the base only in dimension d.
func (r *Result) fit(d Dimension, x, y func(*Point) float64) (intercept, slope float64) {
	var xs, ys []float64
	for n := range r.Points {
		if p := &r.Points[n]; p.Size.differsOnlyIn(d) {
			xs, ys = append(xs, x(p)), append(ys, y(p))
		}
	}
	return stat.LinearRegression(xs, ys, nil, false)
}

// Fit computes the slopes from the points.
func (r *Result) Fit() {
	size := func(d Dimension) func(*Point) float64 {
		return func(p *Point) float64 { return float64(p.Size.value(d)) }
	}
	exchanges := func(p *Point) float64 { return p.Idle.heartbeatExchanges() }
	owned := func(p *Point) float64 { return float64(p.Size.Endpoints) / float64(p.Size.Daemons) }
	listed := func(p *Point) float64 { return float64(p.Size.Domains * (p.Size.Daemons + p.Size.Endpoints)) }
	processor := func(p *Point) float64 { return p.Idle.Processor }
	memory := func(p *Point) float64 { return p.Loaded.Resident }
	control := func(kind string) func(*Point) float64 {
		return func(p *Point) float64 { return p.Idle.Control[kind] }
	}
	bytesPerHeartbeat := func(phase func(*Point) *Phase) func(*Point) float64 {
		return func(p *Point) float64 { return phase(p).Control["peer"] / phase(p).heartbeatExchanges() }
	}
	s := &r.Slopes
	*s = Slopes{}
	s.ProcessorBase, s.ProcessorPerHeartbeat = r.fit(Members, exchanges, processor)
	_, s.ProcessorPerEndpoint = r.fit(Endpoints, owned, processor)
	s.ProcessorBase = max(0, s.ProcessorBase-s.ProcessorPerEndpoint*owned(&r.Points[0]))
	_, s.MemoryPerMember = r.fit(Members, size(Members), memory)
	_, s.MemoryPerEndpoint = r.fit(Endpoints, size(Endpoints), memory)
	_, s.MemoryPerVersion = r.fit(Versions, size(Versions), memory)
	_, s.MemoryPerAccount = r.fit(Accounts, size(Accounts), memory)
	s.MemoryBase = r.Points[0].Loaded.Resident
	s.HeartbeatBytes, s.HeartbeatBytesPerVersion = r.fit(Versions, size(Versions), bytesPerHeartbeat(func(p *Point) *Phase { return &p.Idle }))
	loaded, loadedPerVersion := r.fit(Versions, size(Versions), bytesPerHeartbeat(func(p *Point) *Phase { return &p.Loaded }))
	s.LoadedBytesPerVersion = loadedPerVersion
	_, s.ReportBytes = r.fit(Endpoints, owned, control("report"))
	// One daemon of each failure domain reads the list.
	listBytes := func(p *Point) float64 { return p.Idle.Control["list"] * float64(p.Size.Daemons) }
	s.ListBytes, s.ListBytesPerVM = r.fit(Endpoints, listed, listBytes)
	b := &r.Points[0]
	s.BusyReportBytes = b.Loaded.Control["report"] / owned(b)
	// Both daemons of the base size are followers.
	s.FollowerBytes = b.Idle.Control["platform"]
	s.CopyBytesPerRequest = (loaded - s.HeartbeatBytes) * b.Loaded.heartbeatExchanges() / b.Loaded.Answered
	s.RatingBytesPerRequest = b.Loaded.Control["rating"] / b.Loaded.Answered
	s.BillInterval = r.billInterval()
	r.fitRequests()
}

// fitRequests compares the phases of the base size with short and long answers.
func (r *Result) fitRequests() {
	p := &r.Points[0]
	s := &r.Slopes
	if p.Long == nil {
		return
	}
	tokens := float64(r.Settings.Long - r.Settings.Short)
	long := (p.Long.Processor - p.Idle.Processor) / p.Long.Answered
	short := (p.Loaded.Processor - p.Idle.Processor) / p.Loaded.Answered
	s.ProcessorPerToken = (long - short) / tokens
	s.ProcessorPerRequest = short - s.ProcessorPerToken*float64(r.Settings.Short)
}

// billInterval returns the seconds between transactions of a loaded daemon,
// averaged over all points because one window contains few.
func (r *Result) billInterval() float64 {
	var daemons, writes float64
	for n := range r.Points {
		p := &r.Points[n]
		daemons += float64(p.Size.Domains * p.Size.Daemons)
		writes += p.Loaded.Platform["txn"]
	}
	return daemons / writes
}

func sum(m map[string]float64) float64 {
	var t float64
	for _, v := range m {
		t += v
	}
	return t
}
