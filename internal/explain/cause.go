package explain

import "fmt"

// causes maps the outcome of a packet, or outcome/reason, to its meaning.
var causes = map[string]string{
	"no_route":   "the desired state in force at the balancer (see version and state_age) has no route for the address; the flow was refused at once, nothing has run",
	"no_backend": "no backend server of the service took new flows (see agents, and the members around that time); the flow was refused at once, nothing has run",
	"not_ready":  "the balancer had just started and knew no state or no agents yet; the packet was dropped and the caller's next copy counts",
	"replaced":   "an agent left the opening packet unanswered (see unanswered_by); the copy went to another one",
	"queued":     "all backend servers of the route were crowded (see active); the packet waits at this agent",

	"refused/waited_too_long": "all backend servers of the route were crowded (see active) until it was too late for the caller; nothing has run",
	"refused/queue_full":      "so many flows waited at the agent that this one could not be served; nothing has run",
	"passed/backend_fails":    "requests fail at the agent's backend server (see judgement on the backend server changed); the packet went to another agent",
	"refused/returned":        "the backend server returned the opening packet, and no other took it; nothing has run",
	"refused/older_state":     "the agent had a newer desired state than the balancer, which has no such route; nothing has run",
	"refused/other_service":   "the route does not lead to the agent's service (the route has moved, or the address went to another service), and no other agent took the flow; nothing has run",
	"ended/no_agent_has_it":   "no agent's backend server held the flow any more, or its instance was lost (see members with liveness=dead); the caller got a reset",
	"ended/":                  "the flow's backend server has ended or restarted (see born) and lost its flows; the caller got a reset",
	"ended/backend_lost_flow": "the backend server returned a packet of a flow that it had held; the caller got a reset",
	"lost/members_in_doubt":   "no agent had the flow, but some agent was silent or had stopped and its backend server may have it, or the agent had just started and did not know all members yet (log line view of the members is complete); the packet was dropped",
	"lost/agent_silent":       "an agent did not answer the search for the flow; the packet was dropped",
	"lost/search_under_way":   "the flow was being searched for; the packet was dropped and a retransmission counts",
}

// likelyCause returns the meaning of the last decision about the flow, or "" if there is none.
func (t *Timeline) likelyCause() string {
	if len(t.decisions) == 0 {
		return ""
	}
	last := &t.decisions[len(t.decisions)-1]
	outcome, reason := last.get(fieldOutcome), last.get(fieldReason)
	if cause, ok := causes[outcome+"/"+reason]; ok {
		return cause
	}
	return causes[outcome]
}

// missing describes lines that may be missing in the logs, and lines that were unreadable or duplicates.
func (t *Timeline) missing() []string {
	var missing []string
	roles := map[string]bool{}
	for _, l := range t.decisions {
		roles[l.get(fieldRole)] = true
	}
	if len(t.decisions) > 0 && !roles["balancer"] {
		missing = append(missing, "no line of a balancer; its logs are not here, or the line was sampled out")
	}
	if len(t.decisions) > 0 && !roles["agent"] {
		missing = append(missing, "no line of an agent; its logs are not here, or the packet never reached one")
	}
	if t.omitted > 0 {
		missing = append(missing, fmt.Sprintf("%d decisions about any flow around that time have no line (limits of lines a second)", t.omitted))
	}
	if t.unreadable > 0 {
		missing = append(missing, fmt.Sprintf("%d lines could not be read", t.unreadable))
	}
	if t.duplicates > 0 {
		missing = append(missing, fmt.Sprintf("%d lines came twice and count once", t.duplicates))
	}
	return missing
}
