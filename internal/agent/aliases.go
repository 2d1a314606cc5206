package agent

import "elderyard/internal/agentapi"

// Names of agentapi by which callers outside of this package still use it.
type (
	// Client is agentapi.Client.
	Client = agentapi.Client
	// Target is agentapi.Target.
	Target = agentapi.Target
	// Failure is agentapi.Failure.
	Failure = agentapi.Failure
	// Status is agentapi.Status.
	Status = agentapi.Status
	// InstanceStatus is agentapi.InstanceStatus.
	InstanceStatus = agentapi.InstanceStatus
	// ApplyRequest is agentapi.ApplyRequest.
	ApplyRequest = agentapi.ApplyRequest
	// ApplyResult is agentapi.ApplyResult.
	ApplyResult = agentapi.ApplyResult
	// ChangeRequest is agentapi.ChangeRequest.
	ChangeRequest = agentapi.ChangeRequest
	// Probe is agentapi.Probe.
	Probe = agentapi.Probe
	// Revisions is agentapi.Revisions.
	Revisions = agentapi.Revisions
	// Members is agentapi.Members.
	Members = agentapi.Members
	// MemberChange is agentapi.MemberChange.
	MemberChange = agentapi.MemberChange
	// Audit is agentapi.Audit.
	Audit = agentapi.Audit
)

// NewClient is agentapi.NewClient.
func NewClient(target Target) (*Client, error) { return agentapi.NewClient(target) }
