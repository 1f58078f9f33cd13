package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// grownMemory is the memory of a core on maktaba-fihris-grown, in MiB.
	grownMemory = 408
	// addedRoutes is by how many routes big_config grows the configuration there.
	addedRoutes  = 1400
	changeCount  = 650
	changeGap    = 90 * time.Millisecond
	restartGap   = 2 * time.Second
	recoveryTime = 15 * time.Second
)

// runChanges lets the configuration grow by many routes and change some hundred times. Then
// the cores are stopped and started in turn. The platform kills a process that uses more
// memory than its settings say.
func runChanges(s *system, trouble bool) ([]string, error) {
	s.memory = grownMemory
	c, _, _, err := begin(s, 3, false)
	if err != nil {
		return nil, err
	}
	task := taskSpec{MinMillis: 600000, MaxMillis: 600001, CPU: 1000, Memory: 1000}
	if err := c.submit("plain", jobID(2), task.text(), task.step(2)); err != nil {
		return nil, err
	}
	watch := s.watchMemory()
	version, err := c.change()
	if err != nil {
		return nil, err
	}
	s.record.say("operator: version %d is acknowledged; %s", version, watch.text())
	if trouble {
		s.restartInTurn()
	}
	time.Sleep(recoveryTime)
	read := c.readVersion()
	state := c.state("plain", jobID(2))
	watch.close()
	s.record.say("operator: reads version %d; the accepted job is shown as %q; %s", read, state, watch.text())
	if read == version && state != "" && state != "unknown" {
		return nil, nil
	}
	return []string{fmt.Sprintf("version %d was acknowledged; %v after all machines are back, version %d is read (0: no answer), and the accepted job is shown as %q; %s",
		version, recoveryTime, read, state, watch.text())}, nil
}

// change sends the grown configuration again and again under new versions, as an operator
// does, and returns the last version.
func (c *caller) change() (int, error) {
	queues := []queue{{"urgent", 0, 3}, {"plain", 1, 3}}
	for i := range addedRoutes {
		queues = append(queues, queue{fmt.Sprintf("r-%07d", i), 1, 3})
	}
	version := 7
	for i := range changeCount {
		begun := time.Now()
		version += 1 + i%3
		if _, err := c.operate(http.MethodPut, wire.Config, document(version, 3000+i, queues), 20*time.Second); err != nil {
			return version, err
		}
		time.Sleep(time.Until(begun.Add(changeGap)))
	}
	return version, nil
}

// restartInTurn stops each core and starts it again.
func (s *system) restartInTurn() {
	for i := range coreCount {
		name := coreName(i)
		s.signal(name, syscall.SIGTERM)
		<-s.process(name).ended
		if err := s.startCore(i, false); err != nil {
			s.record.say("%v", err)
		}
		time.Sleep(restartGap)
	}
}

// readVersion reads the configuration back, at all cores, and returns the newest version
// that it gets, or 0.
func (c *caller) readVersion() int {
	newest := 0
	for i := range coreCount {
		status, answer := c.call(http.MethodGet, c.system.control(i), wire.Config, nil, 2*time.Second)
		var body struct {
			Version int `json:"version"`
		}
		if status == http.StatusOK && json.Unmarshal(answer, &body) == nil {
			newest = max(newest, body.Version)
		}
		c.record.note("operator: GET %s at %s -> %d, version %d", wire.Config, coreName(i), status, body.Version)
	}
	return newest
}
