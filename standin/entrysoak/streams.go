package entrysoak

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// workerVersions is the number of software versions of which workers serve side by side.
const workerVersions = 2

// workerVersion returns the version of a worker by its number.
func workerVersion(number int) string { return fmt.Sprint("v", 1+number/2%workerVersions) }

var (
	// versionText is what the events of a worker end with, and cutVersion what a body may end
	// with that is cut there.
	versionText = regexp.MustCompile(` v\d+\n`)
	cutVersion  = regexp.MustCompile(` (v\d*)?\z`)
	eventID     = regexp.MustCompile(`(?m)^id: (\d+)\ndata: .*\n\n`)
)

// streamAfter returns the body of a stream from after an event to its end, without
// versions.
func streamAfter(after int) string {
	var b strings.Builder
	for id := after + 1; id <= eventsPerStream; id++ {
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

// takeUp takes a broken stream up again at any node, as callers do after a broken
// connection.
func (c *caller) takeUp(broken request) {
	client := newClient()
	defer client.CloseIdleConnections()
	r := request{id: broken.id + "-again", route: broken.route, key: broken.key, resumes: broken.id, after: lastEvent(broken.body)}
	c.sendPrepared(client, c.balancer.pick(c.random, c.env.nodes), r)
}

// checkVersions checks that no stream, with the tries that took it up again, holds events
// of two versions.
func (h *history) checkVersions(report func(request, string, ...any)) {
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
}
