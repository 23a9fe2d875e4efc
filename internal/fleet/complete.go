package fleet

import "time"

// Evidence is the reason for which a node takes its table as complete: the table has all members that the deployment had
// before this process started.
type Evidence uint8

// Evidence, from none on.
const (
	// NoEvidence: the table may lack members.
	NoEvidence Evidence = iota
	// SameTable: a member whose table is complete has the same one.
	SameTable
	// FetchedTable: the whole table of a member whose table is complete was merged.
	FetchedTable
	// LongUptime: no member is known to have a complete table, and none has been new for a while. That is so after a start
	// or a loss of all processes.
	LongUptime
)

// String returns the evidence as shown in logs.
func (e Evidence) String() string {
	names := [...]string{"none", "same table", "fetched table", "long uptime"}
	if int(e) >= len(names) {
		return "invalid"
	}
	return names[e]
}

const (
	// completeUptime is the uptime from which a table may count as complete without the evidence of another member. By then
	// processes that start together have found each other, also by the store.
	completeUptime = 5 * time.Second
	// completeQuiet is the time without a new member that this takes.
	completeQuiet = time.Second
)

// Complete returns the evidence that the table is complete, or NoEvidence. Quiet time right after the start is none: the
// seeds may be down, and the few members that answer may have just started themselves.
func (n *Node) Complete() Evidence { return n.complete }

// HeardComplete reports whether a member whose table is complete has sent a message. Then this is no start or loss of all
// processes.
func (n *Node) HeardComplete() bool { return n.heardComplete }

// compareTables notes what a message says about the completeness of the sender's table, and compares that with this one.
func (n *Node) compareTables(m *message) {
	if !m.statesComplete() {
		return
	}
	n.heardComplete = true
	if m.Sum == n.sum {
		n.setComplete(SameTable, m.From)
	}
}

// TableMerged notes that the whole table of a member was merged. The table of this node is complete then if that of the
// member was.
func (n *Node) TableMerged(from Member, complete bool) {
	if complete {
		n.setComplete(FetchedTable, from)
	}
}

// checkUptime takes the table as complete if this node has run long enough.
func (n *Node) checkUptime(now time.Time) {
	if n.joined && now.Sub(n.started) >= completeUptime && now.Sub(n.lastNewMember) >= completeQuiet {
		n.setComplete(LongUptime, n.self.Member)
	}
}

func (n *Node) setComplete(e Evidence, by Member) {
	if n.complete != NoEvidence {
		return
	}
	n.complete = e
	n.events = append(n.events, Event{Kind: TableCompleted, Member: by, Evidence: e})
}
