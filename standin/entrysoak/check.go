package entrysoak

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// configBound is the time after which a confirmed configuration must be in force at
	// connected nodes.
	configBound = 2500 * time.Millisecond
	// revertSlack is how long after the first effect of a version requests may still be
	// handled by an older one.
	revertSlack = 250 * time.Millisecond
	// lossSlack is how long after the last byte of a request its connection may close
	// without a response if no worker got the request.
	lossSlack = 200 * time.Millisecond
	// acceptTime is how long after its signal to stop a node may take requests that it cannot
	// end in its grace time.
	acceptTime = 3 * time.Second
)

// undisturbedNode reports whether nothing but its own stop kept a node's process from
// exiting since the given time.
func (h *history) undisturbedNode(node string, from time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.disturbed(from, time.Now(), func(d *disturbance) bool { return d.endsProcess(node) && !d.planned || d.freezes(node) })
}

func (d *disturbance) freezes(node string) bool { return d.kind == "freeze" && d.subject == node }

// endsProcess reports whether the disturbance ends the node's process.
func (d *disturbance) endsProcess(node string) bool {
	return (d.kind == "kill" || d.kind == "stop") && d.subject == node
}

// disconnects reports whether a node is not bound by changes of the store beside the
// disturbance. The store may drop its history at any time.
func (d *disturbance) disconnects(node string) bool {
	return (d.subject == node && d.kind != "reload") || (d.subject == "store" && d.kind != "store-forgets")
}

// disturbed reports whether a disturbance that matches overlaps a period.
func (h *history) disturbed(from, to time.Time, matches func(*disturbance) bool) bool {
	return slices.ContainsFunc(h.disturbances, func(d *disturbance) bool {
		return d.start.Before(to) && (d.end.IsZero() || d.end.After(from)) && matches(d)
	})
}

// known reports whether, at a moment, a node's process must know a change that the store
// acknowledged: it was connected for long enough at some time since, and has not been
// restarted after that. What the store shows later does not matter.
func (h *history) known(node string, acked time.Time, bound time.Duration, at time.Time) bool {
	moments := []time.Time{acked.Add(bound), at}
	for _, d := range h.disturbances {
		if !d.end.IsZero() && d.disconnects(node) {
			moments = append(moments, d.end.Add(reconnectTime+bound))
		}
	}
	return slices.ContainsFunc(moments, func(m time.Time) bool {
		return !m.Before(acked.Add(bound)) && !m.After(at) &&
			!h.disturbed(m.Add(-bound-reconnectTime), m, func(d *disturbance) bool { return d.disconnects(node) }) &&
			!h.restarted(node, m, at)
	})
}

func (h *history) restarted(node string, from, to time.Time) bool {
	return h.disturbed(from, to, func(d *disturbance) bool { return d.endsProcess(node) })
}

// effects returns, by node, the requests that show which version was in force: they were
// served on the route that came with it.
func (h *history) effects() map[string][]request {
	effects := make(map[string][]request)
	for _, r := range h.requests {
		if r.status == 200 && versionOf(r.route) > 0 {
			effects[r.node] = append(effects[r.node], r)
		}
	}
	return effects
}

// inForce reports whether a version, or a newer one, must be in force at a node.
func (h *history) inForce(c configVersion, node string, effects []request, at time.Time) bool {
	return h.known(node, c.ackedAt, configBound, at) || slices.ContainsFunc(effects, func(e request) bool {
		return versionOf(e.route) >= c.version && at.After(e.endedAt.Add(revertSlack)) && !h.restarted(node, e.endedAt, at)
	})
}

// allows reports whether the version has the request's route and key.
func (c configVersion) allows(r request) bool {
	v := versionOf(r.route)
	return slices.Contains(c.keys, r.key) && (v == 0 || v == c.version || v == c.version-versionStep)
}

// check returns the violations of the promises in the history. ranOn holds the workers
// that ran each request, once per run.
func (h *history) check(ranOn map[string][]string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations := h.violations
	report := func(r request, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s %s at %s, sent %s: ", r.route, r.id, r.node, r.sentAt.Format("15:04:05.000"))+fmt.Sprintf(format, args...))
	}
	effects := h.effects()
	for _, r := range h.requests {
		checkResponse(r, ranOn[r.id], report)
		h.checkAcks(r, ranOn[r.id], report)
		h.checkConfig(r, len(ranOn[r.id]) > 0, effects[r.node], report)
		h.checkLoss(r, ranOn[r.id], report)
	}
	versions := h.checkVersions(report)
	return append(violations, h.checkTakenUp(versions)...)
}

// checkResponse checks what one response promises and contains.
func checkResponse(r request, ranOn []string, report func(request, string, ...any)) {
	runs := len(ranOn)
	if r.route == "book" || r.route == "draft" {
		if runs > 1 {
			report(r, "ran %d times", runs)
		}
		if runs > 0 && (r.status == 503 || r.status == 429) {
			report(r, "answered %d, but ran", r.status)
		}
	}
	want, body := "answer to "+r.id, r.body
	if isStream(r.route) {
		want, body = streamAfter(r.after, cmp.Or(r.events, eventsPerStream)), withoutVersions(r.body)
	}
	if r.status == 200 && r.err == nil && body != want {
		report(r, "complete response with an unexpected body: %q", r.body)
	}
	if r.status == 200 && r.err != nil && !strings.HasPrefix(want, body) {
		report(r, "partial response that is no prefix of the expected body: %q", r.body)
	}
}

// checkAcks checks that one request respects the changes of keys and workers that were
// acknowledged before it was sent.
func (h *history) checkAcks(r request, ranOn []string, report func(request, string, ...any)) {
	for _, a := range h.acks {
		elapsed := r.sentAt.Sub(a.at)
		if a.revokedKey == r.key && elapsed > revocation && len(ranOn) > 0 {
			report(r, "ran %v after its key was revoked", elapsed)
		}
		if elapsed > drain && slices.Contains(ranOn, a.drainingWorker) && h.known(r.node, a.at, drain, r.sentAt) {
			report(r, "reached %s %v after it began to drain", a.drainingWorker, elapsed)
		}
	}
}

// checkConfig checks that a request was not handled as only an older version of the
// configuration allows than the one that must be in force.
func (h *history) checkConfig(r request, ran bool, effects []request, report func(request, string, ...any)) {
	refused := r.err == nil && (r.status == 401 || r.status == 404)
	if !ran && !refused {
		return
	}
	for _, c := range slices.Backward(h.configs) {
		if c.sentAt.After(r.endedAt) {
			continue
		}
		if c.allows(r) == ran {
			return
		}
		if h.inForce(c, r.node, effects, r.sentAt) {
			report(r, "handled by a version before %d, which was in force (ran: %v, status %d)", c.version, ran, r.status)
			return
		}
	}
}

// checkLoss checks that a request whose last byte was sent got a complete response
// unless its node, or a worker that ran it, was disturbed.
func (h *history) checkLoss(r request, ranOn []string, report func(request, string, ...any)) {
	sent := !r.writtenAt.IsZero() && r.endedAt.Sub(r.writtenAt) > lossSlack
	if r.err == nil || errors.Is(r.err, errAbandoned) || (len(ranOn) == 0 && !sent) {
		return
	}
	excused := h.disturbed(r.sentAt.Add(-reconnectTime), r.endedAt, func(d *disturbance) bool {
		return !d.planned && (d.subject == r.node && (d.kind == "kill" || d.kind == "freeze") || slices.Contains(ranOn, d.subject))
	})
	if !excused && !h.endedByTimeLimit(r, ranOn) && !h.endedByStop(r, ranOn) {
		report(r, "was cut off without an unplanned disturbance (ran on %v): %v", ranOn, r.err)
	}
}

// endedByStop reports whether the time for a planned stop of the node was nearly over while a
// worker was at work on a request that had come early enough.
func (h *history) endedByStop(r request, ranOn []string) bool {
	return len(ranOn) > 0 && slices.ContainsFunc(h.disturbances, func(d *disturbance) bool {
		return d.kind == "stop" && d.subject == r.node && r.sentAt.Sub(d.start) <= acceptTime &&
			r.endedAt.After(d.start) && r.endedAt.Sub(d.start) >= grace*5/6
	})
}

// endedByTimeLimit reports whether the node ended a response at its time limit because a
// worker was silent, or because the node has more load than it can bear.
func (h *history) endedByTimeLimit(r request, ranOn []string) bool {
	took := r.endedAt.Sub(r.sentAt)
	if limit := r.timeLimit(); took < limit || took >= limit+patience {
		return false
	}
	return h.loaded || h.disturbed(r.sentAt, r.endedAt, func(d *disturbance) bool {
		return d.kind == "worker-silent" && slices.Contains(ranOn, d.subject)
	})
}
