package chart

// This file defines constants for the states and events in the files. Events
// of the same name in several charts share a constant.

// States of the request chart.
const (
	RequestReceived        State = "received"
	RequestPlanning        State = "planning"
	RequestWaiting         State = "waiting"
	RequestForwarded       State = "forwarded"
	RequestDispatched      State = "dispatched"
	RequestPlanningAgain   State = "planning-again"
	RequestWaitingAgain    State = "waiting-again"
	RequestForwardedAgain  State = "forwarded-again"
	RequestDispatchedAgain State = "dispatched-again"
	RequestAnswered        State = "answered"
	RequestNotRun          State = "not-run"
	RequestUnknown         State = "unknown"
	RequestCancelled       State = "cancelled"
)

// States of the endpoint chart.
const (
	EndpointCold    State = "cold"
	EndpointSuspect State = "suspect"
	EndpointWarm    State = "warm"
	EndpointLeaving State = "leaving"
	EndpointGone    State = "gone"
)

// States of the model version chart.
const (
	ModelVersionGood        State = "good"
	ModelVersionSuspect     State = "suspect"
	ModelVersionQuarantined State = "quarantined"
	ModelVersionProbation   State = "probation"
	ModelVersionRemoved     State = "removed"
)

// States of the daemon chart.
const (
	DaemonStarting              State = "starting"
	DaemonLearningConfiguration State = "learning-configuration"
	DaemonReady                 State = "ready"
	DaemonCutOff                State = "cut-off"
	DaemonDraining              State = "draining"
	DaemonStopped               State = "stopped"
)

// States of the failure domain chart.
const (
	FailureDomainIn        State = "in"
	FailureDomainLeaving   State = "leaving"
	FailureDomainOut       State = "out"
	FailureDomainReturning State = "returning"
	FailureDomainRemoved   State = "removed"
)

// States of the rollout chart.
const (
	RolloutTrial      State = "trial"
	RolloutWidening   State = "widening"
	RolloutMoved      State = "moved"
	RolloutCompleted  State = "completed"
	RolloutCondemned  State = "condemned"
	RolloutRolledBack State = "rolled-back"
)

// Events of all charts.
const (
	EventPlan       Event = "plan"
	EventQueue      Event = "queue"
	EventDispatch   Event = "dispatch"
	EventForward    Event = "forward"
	EventNotStarted Event = "not-started"
	EventRetry      Event = "retry"
	EventEscalate   Event = "escalate"
	EventAnswer     Event = "answer"
	EventRefuse     Event = "refuse"
	EventFail       Event = "fail"
	EventCancel     Event = "cancel"
	EventReportCold Event = "report-cold"
	EventReportWarm Event = "report-warm"
	EventDoubt      Event = "doubt"
	EventRefute     Event = "refute"
	EventStay       Event = "stay"
	EventPass       Event = "pass"
	EventSilent     Event = "silent"
	EventRestart    Event = "restart"
	EventTakeOut    Event = "take-out"
	EventBringBack  Event = "bring-back"
	EventLeave      Event = "leave"
	EventRemove     Event = "remove"
	EventClear      Event = "clear"
	EventQuarantine Event = "quarantine"
	EventRelease    Event = "release"
	EventStarted    Event = "started"
	EventLearned    Event = "learned"
	EventCut        Event = "cut"
	EventRejoin     Event = "rejoin"
	EventDrain      Event = "drain"
	EventDrained    Event = "drained"
	EventRestored   Event = "restored"
	EventWiden      Event = "widen"
	EventMoved      Event = "moved"
	EventComplete   Event = "complete"
	EventCondemn    Event = "condemn"
	EventRollBack   Event = "roll-back"
)
