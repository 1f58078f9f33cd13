package coordinator

import (
	"context"
	"fmt"
	"slices"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/responder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// maxDataCenterName bounds the name of a data centre in an order, in bytes. The name
// is written to the log and to every snapshot.
const maxDataCenterName = 256

// DataCenterView is a data centre as operators see it.
type DataCenterView struct {
	scheduler.DataCenterState
	scheduler.DataCenterUse
	// OrderAgeMillis is how long ago the last order that changed anything took effect;
	// 0 if there was none.
	OrderAgeMillis int64 `json:"order-age-ms,omitempty"`
}

type dataCentersBody struct {
	DataCenters []DataCenterView `json:"data-centers"`
}

// orderDataCenter empties a data centre or returns it to use. Every order is
// committed, also one that is already in effect: an answer from the state alone would
// depend on the clocks that the leader lease is measured with, and a round of the
// quorum costs about as much as the entry, which operators rarely need.
func (c *Coordinator) orderDataCenter(ctx context.Context, call forwarder.Call, emptied bool) forwarder.Answer {
	name := call.DataCenter
	if name == "" || len(name) > maxDataCenterName {
		return c.refuseDataCenterOrder(call, responder.CodeInvalid, fmt.Sprintf("the name of a data centre has 1 to %d bytes", maxDataCenterName))
	}
	c.mu.Lock()
	if !slices.Contains(c.knownDataCenters(), name) {
		c.mu.Unlock()
		return c.refuseDataCenterOrder(call, responder.CodeNotFound, "no such data centre")
	}
	order := &scheduler.DataCenterOrder{Name: name, Emptied: emptied, IfVersion: call.IfVersion}
	p := c.enqueue(0, scheduler.Command{DataCenter: order})
	c.mu.Unlock()
	results, err := p.wait(ctx)
	if err != nil {
		return c.commitFailure(err)
	}
	switch results[0].Outcome {
	case scheduler.OutcomeConflict:
		return c.refuseDataCenterOrder(call, responder.CodeConflict, results[0].Reason)
	case scheduler.OutcomeInvalid:
		return c.refuseDataCenterOrder(call, responder.CodeInvalid, results[0].Reason)
	}
	c.logDataCenterOrder(order, results[0].Outcome)
	return forwarder.Answer{Code: forwarder.CodeOK}
}

func (c *Coordinator) refuseDataCenterOrder(call forwarder.Call, code responder.Code, reason string) forwarder.Answer {
	const maxLogged = 64
	c.event("data-center-refused", "order", call.Kind, "data-center", call.DataCenter[:min(len(call.DataCenter), maxLogged)], "code", code, "reason", reason)
	return problemAnswer(code, reason)
}

// logDataCenterOrder logs an acknowledged order, with the version that is in force
// when the line is written.
func (c *Coordinator) logDataCenterOrder(order *scheduler.DataCenterOrder, outcome scheduler.Outcome) {
	c.mu.Lock()
	version := c.state.DataCenter(order.Name).Version
	c.mu.Unlock()
	event := "data-center-returned"
	if order.Emptied {
		event = "data-center-emptied"
	}
	c.event(event, "data-center", order.Name, "version", version, "outcome", outcome)
}

// knownDataCenters returns the names of the data centres that the settings name, in
// which a worker is registered, or for which there was an order, in order. The caller
// holds mu.
func (c *Coordinator) knownDataCenters() []identifier.DataCenterID {
	names := slices.Clone(c.options.dataCenters)
	for _, state := range c.state.DataCenters() {
		names = append(names, state.Name)
	}
	for _, worker := range c.state.Workers() {
		names = append(names, worker.DataCenter)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// dataCenterViews returns all known data centres in the order of their names. The
// caller holds mu.
func (c *Coordinator) dataCenterViews() []DataCenterView {
	now := wallTime()
	views := []DataCenterView{}
	for _, name := range c.knownDataCenters() {
		view := DataCenterView{DataCenterState: c.state.DataCenter(name), DataCenterUse: c.state.DataCenterUse(name)}
		if view.Version > 0 {
			view.OrderAgeMillis = int64(max(0, now-view.Since))
		}
		views = append(views, view)
	}
	return views
}

// listDataCenters answers from the state under the leader lease that Handle has
// checked before, so that the answer holds every order that was acknowledged before
// the call.
func (c *Coordinator) listDataCenters() forwarder.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return documentAnswer(dataCentersBody{DataCenters: c.dataCenterViews()})
}

// unkeptGuarantees returns the teams whose guarantee does not fit beside the earlier
// ones, in the order of the catalog. The caller holds mu.
func (c *Coordinator) unkeptGuarantees() []identifier.TeamID {
	var teams []identifier.TeamID
	kept := c.state.GuaranteesKept()
	for i := range c.state.Catalog().Teams {
		if name := c.state.Catalog().Teams[i].Name; !kept[name] {
			teams = append(teams, name)
		}
	}
	return teams
}
