package main

import (
	"net/netip"
	"time"
)

// This file defines the command line.

type arguments struct {
	Inventory *inventoryGroup `arg:"subcommand:inventory" help:"check, apply and show the inventory and its rules"`
	Rules     *rulesGroup     `arg:"subcommand:rules" help:"check, apply and show only the rules"`
	Version   *versionGroup   `arg:"subcommand:version" help:"withdraw and restore versions"`
	Domain    *domainGroup    `arg:"subcommand:domain" help:"take failure domains out of service and back in"`
	VM        *vmGroup        `arg:"subcommand:vm" help:"take entry VMs out of service and back in"`
	Endpoint  *endpointGroup  `arg:"subcommand:endpoint" help:"take endpoints out of service and back in"`
	Rollout   *rolloutGroup   `arg:"subcommand:rollout" help:"set the weights of versions"`
	Status    *statusCommand  `arg:"subcommand:status" help:"show one daemon's view of the fleet"`
	Explain   *explainCommand `arg:"subcommand:explain" help:"explain where a request would go now, without sending it"`
	State     *stateGroup     `arg:"subcommand:state" help:"show the state of one daemon"`
	Key       *keyGroup       `arg:"subcommand:key" help:"work with bearer keys"`

	Addresses []netip.AddrPort `arg:"--address,separate,env:FESCUELATCH_OPERATOR_ADDRESSES" placeholder:"IP:PORT" help:"operator address of a daemon; repeat the flag to add fallbacks"`
	KeyFile   string           `arg:"--key-file" placeholder:"FILE" help:"file with the operator key"`
	OperKey   string           `arg:"--,env:FESCUELATCH_OPERATOR_KEY" help:"operator key"`
	JSON      bool             `arg:"--json" help:"write JSON"`
	Timeout   time.Duration    `arg:"--timeout" default:"30s" help:"timeout of each exchange with the fleet"`
}

// Description is shown at the start of the help.
func (arguments) Description() string { return "fescuelatch is the operators' command line." }

// Epilogue is shown at the end of the help.
func (arguments) Epilogue() string { return exitHelp }

// changeFlags are the flags of all commands that change the configuration.
type changeFlags struct {
	Yes    bool          `arg:"-y,--yes" help:"do not ask for confirmation"`
	Base   *uint64       `arg:"--base" placeholder:"GENERATION" help:"fail unless this generation is active"`
	Wait   time.Duration `arg:"--wait" default:"30s" help:"how long to wait until the change is active everywhere"`
	Author string        `arg:"--author,env:FESCUELATCH_AUTHOR" help:"author of the change [default: the current user]"`
	Note   string        `arg:"--note" help:"reason for the change"`
}

type inventoryGroup struct {
	Check   *inventoryCheck   `arg:"subcommand:check" help:"report all faults in the files"`
	Apply   *inventoryApply   `arg:"subcommand:apply" help:"make the files' content active"`
	Get     *inventoryGet     `arg:"subcommand:get" help:"write the active inventory"`
	History *inventoryHistory `arg:"subcommand:history" help:"list changes, newest first"`
}

type pathArguments struct {
	Paths []string `arg:"positional,required" placeholder:"PATH" help:"files or directories"`
}

type inventoryCheck struct{ pathArguments }

type inventoryApply struct {
	pathArguments
	changeFlags
}

type inventoryGet struct{}

type inventoryHistory struct {
	Limit int `arg:"--limit" default:"20" help:"maximum number of changes to list"`
}

type rulesGroup struct {
	Check *rulesCheck `arg:"subcommand:check" help:"report all faults in the rules"`
	Apply *rulesApply `arg:"subcommand:apply" help:"make the rules active and keep the inventory"`
	Get   *rulesGet   `arg:"subcommand:get" help:"write the active rules"`
}

type rulesCheck struct{ pathArguments }

type rulesApply struct {
	pathArguments
	changeFlags
}

type rulesGet struct{}

// overrideArguments are the arguments of all commands that set overrides.
type overrideArguments struct {
	IDs []string `arg:"positional,required" placeholder:"ID" help:"identifiers"`
	changeFlags
}

type versionGroup struct {
	Withdraw *versionWithdraw `arg:"subcommand:withdraw" help:"send no new requests to versions"`
	Restore  *versionRestore  `arg:"subcommand:restore" help:"send requests to withdrawn versions again"`
}

type (
	versionWithdraw struct{ overrideArguments }
	versionRestore  struct{ overrideArguments }
)

type domainGroup struct {
	Out *domainOut `arg:"subcommand:out" help:"send no new requests to failure domains"`
	In  *domainIn  `arg:"subcommand:in" help:"send requests to failure domains again"`
}

type (
	domainOut struct{ overrideArguments }
	domainIn  struct{ overrideArguments }
)

type vmGroup struct {
	Out *vmOut `arg:"subcommand:out" help:"let entry VMs accept no new requests"`
	In  *vmIn  `arg:"subcommand:in" help:"let entry VMs accept requests again"`
}

type (
	vmOut struct{ overrideArguments }
	vmIn  struct{ overrideArguments }
)

type endpointGroup struct {
	Out *endpointOut `arg:"subcommand:out" help:"send no new requests to endpoints"`
	In  *endpointIn  `arg:"subcommand:in" help:"send requests to endpoints again"`
}

type (
	endpointOut struct{ overrideArguments }
	endpointIn  struct{ overrideArguments }
)

type rolloutGroup struct {
	Set *rolloutSet `arg:"subcommand:set" help:"set the weights of versions for new sessions"`
}

type rolloutSet struct {
	Weights []versionWeight `arg:"positional,required" placeholder:"VERSION=WEIGHT" help:"weights, 0 or above"`
	changeFlags
}

type statusCommand struct {
	Endpoints bool `arg:"--endpoints" help:"list each endpoint"`
	controlFlag
}

// controlFlag selects a daemon that runs on the users' platform, whose control
// server needs no key.
type controlFlag struct {
	Control netip.AddrPort `arg:"--control" placeholder:"IP:PORT" help:"control address of a daemon on the users' platform, replaces --address"`
}

// explainCommand describes a request by the fields of direct.Question.
type explainCommand struct {
	Route        string       `arg:"--route" placeholder:"ID" help:"route of the request; or name --service, or --host and --path"`
	Service      string       `arg:"--service" placeholder:"ID" help:"service, if one route leads to it"`
	Host         string       `arg:"--host" help:"host of the request"`
	Path         string       `arg:"--path" help:"path of the request"`
	Account      string       `arg:"--account" placeholder:"ID" help:"client account; none is needed on public routes"`
	Model        string       `arg:"--model" placeholder:"ID" help:"only this one of the route's models"`
	Session      string       `arg:"--session" help:"the caller's session"`
	Parts        []promptPart `arg:"--part,separate" placeholder:"ID:TOKENS" help:"leading part of the prompt; repeat the flag in their order"`
	PromptTokens int          `arg:"--prompt-tokens" placeholder:"N" help:"length of the prompt [default: that of its parts]"`
	OutputTokens int          `arg:"--output-tokens" placeholder:"N" help:"expected length of the answer"`
	BodyBytes    int          `arg:"--body-bytes" placeholder:"N" help:"length of the body"`
	Fingerprint  string       `arg:"--fingerprint" help:"fingerprint of an earlier request, as logged, for its repeat"`
	All          bool         `arg:"--all" help:"ask all daemons that the one at --control knows, and show where they differ"`
	Output       string       `arg:"--output" default:"text" help:"text or json"`
	controlFlag
}

type stateGroup struct {
	Dump *stateDump `arg:"subcommand:dump" help:"write the state of the first daemon that responds"`
}

type stateDump struct{ controlFlag }

type keyGroup struct {
	Hash *keyHash `arg:"subcommand:hash" help:"read a bearer key from standard input and write its hash"`
}

type keyHash struct{}

// Compile-time assertions that every subcommand implements command.
var (
	_ command = (*inventoryCheck)(nil)
	_ command = (*inventoryApply)(nil)
	_ command = (*inventoryGet)(nil)
	_ command = (*inventoryHistory)(nil)
	_ command = (*rulesCheck)(nil)
	_ command = (*rulesApply)(nil)
	_ command = (*rulesGet)(nil)
	_ command = (*versionWithdraw)(nil)
	_ command = (*versionRestore)(nil)
	_ command = (*domainOut)(nil)
	_ command = (*domainIn)(nil)
	_ command = (*vmOut)(nil)
	_ command = (*vmIn)(nil)
	_ command = (*endpointOut)(nil)
	_ command = (*endpointIn)(nil)
	_ command = (*rolloutSet)(nil)
	_ command = (*statusCommand)(nil)
	_ command = (*explainCommand)(nil)
	_ command = (*stateDump)(nil)
	_ command = (*keyHash)(nil)
)
