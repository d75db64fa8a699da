package main

import (
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"fescuelatch/fleetkey"
	"fescuelatch/token"
)

// This file defines the settings of the daemon.

// settings are read from flags and from environment variables with the
// prefix FESCUELATCH_. A flag overrides its variable.
type settings struct {
	Direct *directCommand `arg:"subcommand:direct" help:"run on a platform that registers the endpoints, with the platform's settings"`

	VM             string         `arg:"--vm,env:FESCUELATCH_VM" help:"identifier of this VM in the inventory"`
	Domain         string         `arg:"--domain,env:FESCUELATCH_DOMAIN" help:"failure domain of this VM"`
	PeerListen     netip.AddrPort `arg:"--peer-listen,env:FESCUELATCH_PEER_LISTEN" help:"address to listen on for other daemons"`
	CallerListen   netip.AddrPort `arg:"--caller-listen,env:FESCUELATCH_CALLER_LISTEN" help:"address to listen on for callers"`
	OperatorListen netip.AddrPort `arg:"--operator-listen,env:FESCUELATCH_OPERATOR_LISTEN" help:"address to listen on for operators"`
	DialFrom       netip.Addr     `arg:"--dial-from,env:FESCUELATCH_DIAL_FROM" help:"source address of outgoing connections"`
	Platform       string         `arg:"--platform,env:FESCUELATCH_PLATFORM" help:"URL of the key-value service"`
	VMs            string         `arg:"--vms,env:FESCUELATCH_VMS" help:"URL of the list of VMs"`
	Rating         string         `arg:"--rating,env:FESCUELATCH_RATING" help:"URL of the rating service"`
	Seeds          addressList    `arg:"--seeds,env:FESCUELATCH_SEEDS" help:"comma-separated peer addresses to get the configuration from while the platform is unavailable"`

	FleetKey        string `arg:"--,env:FESCUELATCH_FLEET_KEY"`
	FleetKeyFile    string `arg:"--fleet-key-file,env:FESCUELATCH_FLEET_KEY_FILE" help:"file with the keys that authenticate daemons to each other: key,key; the first is presented"`
	OperatorKey     string `arg:"--,env:FESCUELATCH_OPERATOR_KEY"`
	OperatorKeyFile string `arg:"--operator-key-file,env:FESCUELATCH_OPERATOR_KEY_FILE" help:"file with the operator key"`
	SessionKeys     string `arg:"--,env:FESCUELATCH_SESSION_KEYS"`
	SessionKeysFile string `arg:"--session-keys-file,env:FESCUELATCH_SESSION_KEYS_FILE" help:"file with the keys of session tokens: kid:secret,kid:secret; the first signs"`

	TLSCertificate string `arg:"--tls-certificate,env:FESCUELATCH_TLS_CERTIFICATE" help:"certificate file for mutual TLS between daemons"`
	TLSKey         string `arg:"--tls-key,env:FESCUELATCH_TLS_KEY" help:"key file for mutual TLS between daemons"`
	TLSServerName  string `arg:"--tls-server-name,env:FESCUELATCH_TLS_SERVER_NAME" help:"DNS name that the certificates of daemons carry; without it they carry the IP address"`
	TLSAuthority   string `arg:"--tls-authority,env:FESCUELATCH_TLS_AUTHORITY" help:"file of the authority that signs the certificates of daemons"`

	VersionPolicy  string        `arg:"--version-policy,env:FESCUELATCH_VERSION_POLICY" default:"cascade" help:"cascade, always-best or always-cheapest"`
	Placement      string        `arg:"--placement,env:FESCUELATCH_PLACEMENT" default:"affinity" help:"affinity, least-loaded or random"`
	Gate           string        `arg:"--gate,env:FESCUELATCH_GATE" default:"adaptive" help:"adaptive or fixed"`
	Quality        string        `arg:"--quality,env:FESCUELATCH_QUALITY" default:"learned" help:"learned or static"`
	SampleShare    float64       `arg:"--sample-share,env:FESCUELATCH_SAMPLE_SHARE" default:"0.1" help:"minimum share of answers that are rated for learning, 0 to 1; with fixed sampling the share"`
	Sampling       string        `arg:"--sampling,env:FESCUELATCH_SAMPLING" default:"adaptive" help:"adaptive or fixed selection of the answers to rate"`
	RatingRate     float64       `arg:"--rating-rate,env:FESCUELATCH_RATING_RATE" default:"5" help:"maximum ratings a second of this daemon; those that a request waits for come first and may exceed it"`
	Relay          bool          `arg:"--platform-relay,env:FESCUELATCH_PLATFORM_RELAY" help:"send platform writes through one daemon of the failure domain, for failure domains of many VMs"`
	DrainDelay     time.Duration `arg:"--drain-delay,env:FESCUELATCH_DRAIN_DELAY" default:"1s" help:"how long a stopping daemon refuses requests before it closes; above the balancer's check interval"`
	StopTimeout    time.Duration `arg:"--stop-timeout,env:FESCUELATCH_STOP_TIMEOUT" default:"30s" help:"maximum duration of a graceful stop"`
	BillHoldTime   time.Duration `arg:"--bill-hold-time,env:FESCUELATCH_BILL_HOLD_TIME" default:"25s" help:"age at which copies of another VM's bills are written"`
	MemoryMB       int64         `arg:"--memory-mb,env:FESCUELATCH_MEMORY_MB" default:"512" help:"memory of the VM in MiB; callers may make the daemon hold a sixth of it"`
	MaxDescriptors int           `arg:"--max-descriptors,env:FESCUELATCH_MAX_DESCRIPTORS" default:"0" help:"maximum of open descriptors, which bounds connections; 0: only memory does"`
	LogLevel       string        `arg:"--log-level,env:FESCUELATCH_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`

	sessionRing     token.Ring
	parsedFleetKeys fleetkey.Keys
	level           slog.Level
}

// maxMemoryMB is far above the memory of any VM.
const maxMemoryMB = 1 << 30

// addressList is a list of addresses, separated by commas.
type addressList []netip.AddrPort

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *addressList) UnmarshalText(b []byte) error {
	for text := range strings.SplitSeq(string(b), ",") {
		p, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return errors.WithStack(err)
		}
		*a = append(*a, p)
	}
	return nil
}

// Description implements arg.Described.
func (*settings) Description() string {
	return "fescuelatchd is the daemon of an entry VM. Keys come from the environment or from files, never from flags."
}

// readSettings reads and checks the settings; its error lists all faults.
func readSettings() (*settings, error) {
	s := new(settings)
	arg.MustParse(s)
	if s.Direct != nil {
		return s, s.Direct.read()
	}
	var faults []string
	fault := func(err error) {
		if err != nil {
			faults = append(faults, err.Error())
		}
	}
	fault(loadKeyFile(&s.FleetKey, s.FleetKeyFile))
	fault(loadKeyFile(&s.OperatorKey, s.OperatorKeyFile))
	fault(loadKeyFile(&s.SessionKeys, s.SessionKeysFile))
	faults = append(faults, s.check()...)
	if len(faults) > 0 {
		return nil, errors.Errorf("settings: %s", strings.Join(faults, "; "))
	}
	return s, nil
}

// tls returns the file names for mutual TLS between daemons.
func (s *settings) tls() fleetkey.Files {
	return fleetkey.Files{Certificate: s.TLSCertificate, Key: s.TLSKey, Authorities: s.TLSAuthority, ServerName: s.TLSServerName}
}

func loadKeyFile(key *string, name string) error {
	if name == "" {
		return nil
	}
	b, err := os.ReadFile(name) //nolint:gosec // The operator names the file.
	if err != nil {
		return errors.WithStack(err)
	}
	*key = strings.TrimSpace(string(b))
	return nil
}

func (s *settings) check() []string {
	var faults []string
	require := func(ok bool, message string) {
		if !ok {
			faults = append(faults, message)
		}
	}
	require(s.VM != "", "--vm is missing")
	require(s.Domain != "", "--domain is missing")
	require(s.PeerListen.IsValid(), "--peer-listen is missing")
	require(s.CallerListen.IsValid(), "--caller-listen is missing")
	require(s.OperatorListen.IsValid(), "--operator-listen is missing")
	require(s.Platform != "", "--platform is missing")
	require(s.VMs != "", "--vms is missing")
	require(s.Rating != "", "--rating is missing")
	require(s.OperatorKey != "", "the operator key is missing")
	require(s.SampleShare >= 0 && s.SampleShare <= 1, "--sample-share is not within 0 to 1")
	require(s.RatingRate >= 0, "--rating-rate is negative")
	require(s.DrainDelay >= 0, "--drain-delay is negative")
	require(s.StopTimeout > 0, "--stop-timeout is not positive")
	require(s.MemoryMB > 0 && s.MemoryMB <= maxMemoryMB, "--memory-mb is out of range")
	require(s.MaxDescriptors >= 0, "--max-descriptors is negative")
	require(s.BillHoldTime > 0, "--bill-hold-time is not positive")
	require(s.level.UnmarshalText([]byte(s.LogLevel)) == nil, "--log-level is unknown")
	require(!s.tls().Enabled() || (s.TLSCertificate != "" && s.TLSKey != "" && s.TLSAuthority != ""),
		"--tls-certificate, --tls-key and --tls-authority must be set together")
	var err error
	s.parsedFleetKeys, err = fleetkey.ParseKeys(s.FleetKey)
	require(err == nil, "the fleet keys are missing or malformed")
	s.sessionRing, err = token.ParseRing(s.SessionKeys)
	require(err == nil, "the session keys are missing or malformed")
	faults = append(faults, s.checkPolicies()...)
	return faults
}
