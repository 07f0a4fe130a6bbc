package rollout

// trialShareOfBound is the share of the exposure bound that a version under trial gets.
// Requests that are sent again, and those that reach the service but are refused, may make
// up the rest.
const trialShareOfBound = 0.6

// TrialShare returns the share of the requests of each route that a node sends to a version
// under trial, for a bound on its share of all requests. A bad version gets this share under
// any load, because each node compares two counts of its own.
func TrialShare(bound float64) float64 { return trialShareOfBound * bound }

// mayTry reports whether a node that has sent some requests of a route, tries of them to the
// version under trial, may send it the next one. start is uniform in [0, 1) and fixed for the
// node and the route, so that the nodes together send the share also of a route of which none
// sees many requests, and a node that restarts has no more than its share on average.
func mayTry(sends, tries uint64, share, start float64) bool {
	return float64(tries+1) <= share*float64(sends+1)+start
}
