package command

import (
	"strconv"
	"time"

	"cranberrystack.dev/cranberrystack/scheduler"
)

// teamShares is what the teams hold and wait for, in the response to top.
type teamShares []scheduler.TeamShare

func (t teamShares) rows() [][]string {
	rows := [][]string{nil, {"TEAM", "POOL", "WEIGHT", "CORES", "MEMORY MB", "ACCELERATORS", "SHARE", "WAITING TASKS", "OLDEST WAIT"}}
	for i := range t {
		share := &t[i]
		pool := string(share.Pool)
		if pool == "" {
			pool = "-"
		}
		rows = append(rows, []string{
			string(share.Team), pool, strconv.FormatFloat(share.Weight, 'g', -1, 64),
			strconv.FormatFloat(float64(share.Held.CPU)/1000, 'f', 1, 64), strconv.FormatInt(share.Held.Memory, 10),
			strconv.FormatInt(share.Held.Accelerators, 10), strconv.FormatFloat(share.Share, 'f', 4, 64),
			strconv.Itoa(share.WaitingTasks), (time.Duration(share.OldestWaitMillis) * time.Millisecond).String(),
		})
	}
	return rows
}
