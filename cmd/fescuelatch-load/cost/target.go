package cost

// This file defines the target size and what the slopes make of it.

// Target is a size that the router has to carry, with the budget of control
// for each daemon.
type Target struct {
	Daemons, Domains, Endpoints, Versions float64
	Accounts                              float64
	// Requests and Tokens are those of the whole fleet in a second.
	Requests, Tokens float64
	// Changes of the configuration, and Starts of daemons, in a day.
	Changes, Starts float64
	Processor       float64 // of a core
	Memory          float64 // in bytes
	Bytes           float64 // in a second
}

// LongRun is the target of the users' letter. It names no number of client
// accounts; 1,000 is assumed.
var LongRun = Target{
	Daemons: 1100, Domains: 21, Endpoints: 3500, Versions: 20, Accounts: 1000,
	Requests: 26000, Tokens: 9.2e6, Changes: 5500, Starts: 1463,
	Processor: 0.027, Memory: 256e6, Bytes: 2000,
}

const (
	secondsOfDay = 86400
	// memberBeats and gossipBeats are the heartbeats a second that a daemon
	// takes part in, with each other daemon of its failure domain and with
	// all of the others.
	memberBeats = 2.0
	gossipBeats = 8.0
	// partnersEach is the number of daemons of other failure domains that a
	// daemon calls, and on average the number that call it.
	partnersEach = 10.0
	// followersEach is the number of daemons of a failure domain that watch
	// the platform, and recheckEvery the seconds after which each opens its
	// watch and reads the head again.
	followersEach = 2.0
	recheckEvery  = 3.0
	callsOfCheck  = 2.0
	// callsOfChange are those of a proposal, and callsOfStart those of a
	// daemon that learns the configuration and opens its leases.
	callsOfChange = 2.0
	callsOfStart  = 5.0
	// leasesEach is the number of leases that a daemon opens in an hour, for
	// claims and for sessions.
	leasesEach    = 2.0
	secondsOfHour = 3600.0
	// copiesOfBill is the number of daemons that hold a copy. In the base size
	// there is one other daemon.
	copiesOfBill = 2.0
)

// Estimate is what today's code would cost one daemon at a target.
type Estimate struct {
	Members, Owned           float64 // daemons of a failure domain, endpoints of a daemon
	Requests, Tokens         float64
	Beats                    float64
	BeatBytes, LoadedBytes   float64
	CopyBytes, RatingBytes   float64
	ReportBytes, ListBytes   float64 // the list as a mean over a failure domain
	FollowerBytes            float64 // as a mean over a failure domain
	ReaderBytes              float64 // of the daemon that reads the list
	Connected                float64 // other daemons with connections
	ControlBytes             float64
	BeatProcessor            float64
	ControlProcessor         float64
	RequestProcessor         float64
	TokenProcessor           float64
	MemberMemory             float64
	EndpointMemory           float64
	VersionMemory            float64
	EntryMemory              float64
	Memory                   float64
	Followers, Checks        float64 // of the fleet, as all below
	BillWrites               float64
	ChangeCalls, StartCalls  float64
	LeaseCalls               float64
	PlatformCalls            float64
	FirstClaimWrites         float64 // when one request in a hundred needs a claim
	GroupedWrites            float64
	ProcessorMembers         float64 // daemons of a failure domain at which the budget ends
	BytesMembers             float64
	WithoutHeartbeats        float64 // control bytes
	CellBeats, CellBeatBytes float64
}

// Sizes of what is not built, chosen by design.
const (
	claimShare = 0.01
	// cellSize is the number of daemons of a cell, cellBeats the heartbeats
	// a second that one takes part in with each other one of its cell.
	cellSize  = 8.0
	cellBeats = 1.0
	// groupInterval is the seconds over which a failure domain's relay
	// groups writes.
	groupInterval = 0.1
)

// At works out what today's code would cost at t.
func (s *Slopes) At(t Target) Estimate {
	e := Estimate{
		Members: t.Daemons / t.Domains, Owned: t.Endpoints / t.Daemons,
		Requests: t.Requests / t.Daemons, Tokens: t.Tokens / t.Daemons,
	}
	e.Beats = memberBeats*(e.Members-1) + gossipBeats
	s.bytes(t, &e)
	s.load(t, &e)
	s.platform(t, &e)
	return e
}

func (s *Slopes) bytes(t Target, e *Estimate) {
	e.BeatBytes = e.Beats * (s.HeartbeatBytes + s.HeartbeatBytesPerVersion*t.Versions)
	e.LoadedBytes = e.Beats * max(0, s.LoadedBytesPerVersion-s.HeartbeatBytesPerVersion) * t.Versions
	e.CopyBytes = e.Requests * copiesOfBill * s.CopyBytesPerRequest
	e.RatingBytes = e.Requests * s.RatingBytesPerRequest
	e.ReportBytes = e.Owned * s.BusyReportBytes
	e.FollowerBytes = s.FollowerBytes * followersEach / e.Members
	e.ReaderBytes = s.ListBytes + s.ListBytesPerVM*(t.Daemons+t.Endpoints)
	e.ListBytes = e.ReaderBytes / e.Members
	e.WithoutHeartbeats = e.CopyBytes + e.RatingBytes + e.ReportBytes + e.ListBytes + e.FollowerBytes
	e.ControlBytes = e.BeatBytes + e.LoadedBytes + e.WithoutHeartbeats
	e.CellBeats = cellBeats * (cellSize - 1)
	e.CellBeatBytes = e.CellBeats * (s.HeartbeatBytes + s.HeartbeatBytesPerVersion*t.Versions)
	e.BytesMembers = 1 + t.Bytes/memberBeats/(s.HeartbeatBytes+s.HeartbeatBytesPerVersion*t.Versions)
}

func (s *Slopes) load(t Target, e *Estimate) {
	e.BeatProcessor = e.Beats * s.ProcessorPerHeartbeat
	e.ControlProcessor = s.ProcessorBase + e.BeatProcessor + e.Owned*s.ProcessorPerEndpoint
	e.RequestProcessor = e.Requests * s.ProcessorPerRequest
	e.TokenProcessor = e.Tokens * s.ProcessorPerToken
	rest := t.Processor - s.ProcessorBase - e.Owned*s.ProcessorPerEndpoint
	e.ProcessorMembers = 1 + max(0, rest)/memberBeats/s.ProcessorPerHeartbeat
	// Connections that nobody uses are closed, so that a daemon has those with
	// its failure domain and with partners. Endpoints cost the daemons of their own
	// failure domain; elsewhere they are entries of the configuration, taken
	// as large as client accounts.
	e.Connected = e.Members - 1 + 2*partnersEach
	e.MemberMemory = s.MemoryPerMember * e.Connected
	e.EndpointMemory = s.MemoryPerEndpoint * t.Endpoints / t.Domains
	e.VersionMemory = max(0, s.MemoryPerVersion) * t.Versions
	e.EntryMemory = s.MemoryPerAccount * (t.Accounts + t.Daemons + t.Endpoints)
	e.Memory = s.MemoryBase + e.MemberMemory + e.EndpointMemory + e.VersionMemory + e.EntryMemory
}

func (s *Slopes) platform(t Target, e *Estimate) {
	e.Followers = followersEach * t.Domains
	e.Checks = e.Followers * callsOfCheck / recheckEvery
	e.BillWrites = t.Daemons / s.BillInterval
	e.ChangeCalls = t.Changes * callsOfChange / secondsOfDay
	e.StartCalls = t.Starts * callsOfStart / secondsOfDay
	e.LeaseCalls = t.Daemons * leasesEach / secondsOfHour
	e.PlatformCalls = e.Followers + e.Checks + e.BillWrites + e.ChangeCalls + e.StartCalls + e.LeaseCalls
	e.FirstClaimWrites = t.Requests * claimShare * callsOfClaim
	e.GroupedWrites = t.Domains / groupInterval
}

// callsOfClaim are the transactions of a claim and of its end.
const callsOfClaim = 2.0
