package cost

// This file defines the target size and the estimate of its costs.

// Target is a size and load that the router must support, with the control
// budget of each daemon.
type Target struct {
	Daemons, Domains, Endpoints, Versions float64
	Accounts                              float64
	// Requests and Tokens are rates per second for the whole fleet.
	Requests, Tokens float64
	// Changes of the configuration and Starts of daemons are per day.
	Changes, Starts float64
	Processor       float64 // of a core
	Memory          float64 // in bytes
	Bytes           float64 // per second
}

// LongTermTarget is the target that the users specified. They gave no number of client
// accounts; 1,000 is assumed.
var LongTermTarget = Target{
	Daemons: 1100, Domains: 21, Endpoints: 3500, Versions: 20, Accounts: 1000,
	Requests: 26000, Tokens: 9.2e6, Changes: 5500, Starts: 1463,
	Processor: 0.027, Memory: 256e6, Bytes: 2000,
}

const (
	secondsPerDay = 86400
	// memberHeartbeatRate and gossipHeartbeatRate are the heartbeats per
	// second that a daemon exchanges with each other daemon of its failure
	// domain, and with all daemons of other failure domains together.
	memberHeartbeatRate = 2.0
	gossipHeartbeatRate = 8.0
	// partnersPerDaemon is the number of daemons of other failure domains
	// that a daemon calls, and the average number that call it.
	partnersPerDaemon = 10.0
	// followersPerDomain is the number of daemons per failure domain that
	// watch the platform. Each reopens its watch and rereads the head every
	// recheckInterval seconds.
	followersPerDomain = 2.0
	recheckInterval    = 3.0
	callsPerRecheck    = 2.0
	// callsPerChange counts the calls of a proposal, callsPerStart those of a
	// daemon that reads the configuration and opens its leases.
	callsPerChange = 2.0
	callsPerStart  = 5.0
	// leasesPerHour is the number of leases that a daemon opens per hour for
	// claims and for sessions.
	leasesPerHour  = 2.0
	secondsPerHour = 3600.0
	// copiesPerBill is the number of daemons that hold a copy of a bill. In the
	// base size there is one other daemon.
	copiesPerBill = 2.0
)

// Estimate is the expected cost of the current code for one daemon at a target.
type Estimate struct {
	Members, Owned                     float64 // daemons per failure domain, endpoints per daemon
	Requests, Tokens                   float64
	Heartbeats                         float64
	HeartbeatBytes, LoadedBytes        float64
	CopyBytes, RatingBytes             float64
	ReportBytes, ListBytes             float64 // ListBytes is a mean over a failure domain
	FollowerBytes                      float64 // mean over a failure domain
	ReaderBytes                        float64 // of the daemon that reads the list
	Connected                          float64 // other daemons with connections
	ControlBytes                       float64
	HeartbeatProcessor                 float64
	ControlProcessor                   float64
	RequestProcessor                   float64
	TokenProcessor                     float64
	MemberMemory                       float64
	EndpointMemory                     float64
	VersionMemory                      float64
	EntryMemory                        float64
	Memory                             float64
	Followers, Checks                  float64 // of the fleet, like calls and writes below
	BillWrites                         float64
	ChangeCalls, StartCalls            float64
	LeaseCalls                         float64
	PlatformCalls                      float64
	FirstClaimWrites                   float64 // if one request in a hundred needs a claim
	GroupedWrites                      float64
	MaxMembersByProcessor              float64 // daemons per failure domain that use up the budget
	MaxMembersByBytes                  float64
	WithoutHeartbeats                  float64 // control bytes
	CellHeartbeats, CellHeartbeatBytes float64
}

// Design parameters of features that are not implemented.
const (
	claimShare = 0.01
	// cellSize is the number of daemons of a cell. cellHeartbeatRate is the
	// heartbeats per second between two daemons of a cell.
	cellSize          = 8.0
	cellHeartbeatRate = 1.0
	// groupInterval is the seconds over which the relay of a failure domain
	// batches writes.
	groupInterval = 0.1
)

// At estimates the cost of the current code at t.
func (s *Slopes) At(t Target) Estimate {
	e := Estimate{
		Members: t.Daemons / t.Domains, Owned: t.Endpoints / t.Daemons,
		Requests: t.Requests / t.Daemons, Tokens: t.Tokens / t.Daemons,
	}
	e.Heartbeats = memberHeartbeatRate*(e.Members-1) + gossipHeartbeatRate
	s.estimateBytes(t, &e)
	s.estimateProcessorAndMemory(t, &e)
	s.estimatePlatformCalls(t, &e)
	return e
}

func (s *Slopes) estimateBytes(t Target, e *Estimate) {
	e.HeartbeatBytes = e.Heartbeats * (s.HeartbeatBytes + s.HeartbeatBytesPerVersion*t.Versions)
	e.LoadedBytes = e.Heartbeats * max(0, s.LoadedBytesPerVersion-s.HeartbeatBytesPerVersion) * t.Versions
	e.CopyBytes = e.Requests * copiesPerBill * s.CopyBytesPerRequest
	e.RatingBytes = e.Requests * s.RatingBytesPerRequest
	e.ReportBytes = e.Owned * s.BusyReportBytes
	e.FollowerBytes = s.FollowerBytes * followersPerDomain / e.Members
	e.ReaderBytes = s.ListBytes + s.ListBytesPerVM*(t.Daemons+t.Endpoints)
	e.ListBytes = e.ReaderBytes / e.Members
	e.WithoutHeartbeats = e.CopyBytes + e.RatingBytes + e.ReportBytes + e.ListBytes + e.FollowerBytes
	e.ControlBytes = e.HeartbeatBytes + e.LoadedBytes + e.WithoutHeartbeats
	e.CellHeartbeats = cellHeartbeatRate * (cellSize - 1)
	e.CellHeartbeatBytes = e.CellHeartbeats * (s.HeartbeatBytes + s.HeartbeatBytesPerVersion*t.Versions)
	e.MaxMembersByBytes = 1 + t.Bytes/memberHeartbeatRate/(s.HeartbeatBytes+s.HeartbeatBytesPerVersion*t.Versions)
}

func (s *Slopes) estimateProcessorAndMemory(t Target, e *Estimate) {
	e.HeartbeatProcessor = e.Heartbeats * s.ProcessorPerHeartbeat
	e.ControlProcessor = s.ProcessorBase + e.HeartbeatProcessor + e.Owned*s.ProcessorPerEndpoint
	e.RequestProcessor = e.Requests * s.ProcessorPerRequest
	e.TokenProcessor = e.Tokens * s.ProcessorPerToken
	rest := t.Processor - s.ProcessorBase - e.Owned*s.ProcessorPerEndpoint
	e.MaxMembersByProcessor = 1 + max(0, rest)/memberHeartbeatRate/s.ProcessorPerHeartbeat
	// Unused connections are closed, so a daemon keeps connections only to its
	// failure domain and its partners. Endpoints use memory in the daemons of
	// their own failure domain. Elsewhere they are configuration entries, assumed
	// to be as large as client accounts.
	e.Connected = e.Members - 1 + 2*partnersPerDaemon
	e.MemberMemory = s.MemoryPerMember * e.Connected
	e.EndpointMemory = s.MemoryPerEndpoint * t.Endpoints / t.Domains
	e.VersionMemory = max(0, s.MemoryPerVersion) * t.Versions
	e.EntryMemory = s.MemoryPerAccount * (t.Accounts + t.Daemons + t.Endpoints)
	e.Memory = s.MemoryBase + e.MemberMemory + e.EndpointMemory + e.VersionMemory + e.EntryMemory
}

func (s *Slopes) estimatePlatformCalls(t Target, e *Estimate) {
	e.Followers = followersPerDomain * t.Domains
	e.Checks = e.Followers * callsPerRecheck / recheckInterval
	e.BillWrites = t.Daemons / s.BillInterval
	e.ChangeCalls = t.Changes * callsPerChange / secondsPerDay
	e.StartCalls = t.Starts * callsPerStart / secondsPerDay
	e.LeaseCalls = t.Daemons * leasesPerHour / secondsPerHour
	e.PlatformCalls = e.Followers + e.Checks + e.BillWrites + e.ChangeCalls + e.StartCalls + e.LeaseCalls
	e.FirstClaimWrites = t.Requests * claimShare * callsPerClaim
	e.GroupedWrites = t.Domains / groupInterval
}

// callsPerClaim counts the transactions that create and end a claim.
const callsPerClaim = 2.0
