package entrysoak

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// workerVersions is the number of software versions of which workers serve side by side.
const workerVersions = 2

var (
	// versionText is what the events of a worker end with, and cutVersion what a body may end
	// with that is cut there.
	versionText = regexp.MustCompile(` v\d+\n`)
	cutVersion  = regexp.MustCompile(` (v\d*)?\z`)
	eventID     = regexp.MustCompile(`(?m)^id: (\d+)\ndata: .*\n\n`)
)

// streamAfter returns the body of a stream of some events from after one to its end, without
// versions.
func streamAfter(after, events int) string {
	var b strings.Builder
	for id := after + 1; id <= events; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", id, id)
	}
	return b.String()
}

// withoutVersions returns a body without the versions of the workers that it is from.
func withoutVersions(body string) string {
	return cutVersion.ReplaceAllString(versionText.ReplaceAllString(body, "\n"), "")
}

// lastEvent returns the id of the last whole event of a body, or 0.
func lastEvent(body string) int {
	last := 0
	for _, m := range eventID.FindAllStringSubmatch(body, -1) {
		last, _ = strconv.Atoi(m[1]) // The pattern admits digits only.
	}
	return last
}

const (
	// takeUpTries is how often a caller takes a stream up, and takeUpPause how long it waits
	// before it does again.
	takeUpTries = 8
	takeUpPause = 400 * time.Millisecond
)

// again returns the request that takes the stream of r up after an event.
func (r request) again(id string, after int) request {
	return request{
		id: id, route: r.route, key: r.key, resumes: r.id, after: after, events: r.events, limit: r.limit, prompt: r.prompt, output: r.output,
	}
}

// takeUp takes a broken stream up again at any node, as callers do after a broken
// connection, until it is whole.
func (c *caller) takeUp(broken request) {
	after := lastEvent(broken.body)
	for try := 1; try <= takeUpTries; try++ {
		client := newClient()
		r := broken.again(fmt.Sprintf("%s-again%d", broken.id, try), after)
		r = c.sendPrepared(client, c.balancer.pick(c.random, c.env.nodes), r)
		client.CloseIdleConnections()
		if r.status == 200 && r.err == nil {
			return
		}
		after = max(after, lastEvent(r.body))
		time.Sleep(takeUpPause)
	}
}

// checkVersions checks that no stream, with the tries that took it up again, holds events
// of two versions, and returns the version of each stream.
func (h *history) checkVersions(report func(request, string, ...any)) map[string]string {
	versions := make(map[string]string)
	for _, r := range h.requests {
		first := r.id
		if r.resumes != "" {
			first = r.resumes
		}
		for _, v := range versionText.FindAllString(r.body, -1) {
			v = strings.TrimSpace(v)
			if before := versions[first]; before != "" && before != v {
				report(r, "holds events of %s, and the stream began at %s", v, before)
				break
			}
			versions[first] = v
		}
	}
	return versions
}
