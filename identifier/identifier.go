// Package identifier defines the types of the IDs that all packages share, so that
// an ID of one kind can't be passed as another.
package identifier

// InstanceID identifies one process of the system.
type InstanceID string

// DataCenterID identifies one data centre.
type DataCenterID string

// RegionID identifies one region, a group of data centres.
type RegionID string

// RackID identifies one rack within a data centre.
type RackID string

// MemberID identifies one member of the consortium.
type MemberID string

// TeamID identifies one team of a member.
type TeamID string

// PlanID identifies one customer plan.
type PlanID string

// UpstreamID identifies one upstream, which runs requests.
type UpstreamID string

// WorkerID identifies one worker, a machine that runs tasks.
type WorkerID string

// JobID identifies one job: a gang job or a job with steps.
type JobID string

// RequestKey is the key that a caller assigns to a non-idempotent request.
type RequestKey string

// AttemptID identifies one attempt to run a request.
type AttemptID string

// Incarnation identifies one start of an upstream, worker or instance. A later
// start has a higher incarnation, which replaces the lower ones.
type Incarnation uint64

// Epoch is the fencing number of the owner of a data centre's placement. The owner
// with a higher epoch replaces one with a lower epoch.
type Epoch uint64

// ListVersion numbers the accepted versions of the list of plans and the list of
// allowances, which change together. The first is 1.
type ListVersion uint64
