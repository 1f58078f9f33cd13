// Package identifier holds the named types for ids that every other package
// shares, so that an id of one kind can't be passed where another is meant.
package identifier

// InstanceID names one process of the system.
type InstanceID string

// DataCenterID names one data centre.
type DataCenterID string

// RegionID names one region, a group of data centres.
type RegionID string

// RackID names one rack within a data centre.
type RackID string

// MemberID names one member of the consortium.
type MemberID string

// TeamID names one team of a member.
type TeamID string

// PlanID names one customer plan.
type PlanID string

// UpstreamID names one back end that runs requests.
type UpstreamID string

// WorkerID names one machine that runs tasks.
type WorkerID string

// JobID names one gang job.
type JobID string

// RequestKey is the key that a caller gives a non-idempotent request.
type RequestKey string

// AttemptID names one try at running a request or a job.
type AttemptID string

// Incarnation counts the starts of one upstream, worker or instance. A higher
// one replaces a lower one.
type Incarnation uint64

// Epoch fences the owner of a data centre's placement. A higher one replaces
// a lower one.
type Epoch uint64

// ListVersion numbers the accepted states of the two lists, from 1.
type ListVersion uint64
