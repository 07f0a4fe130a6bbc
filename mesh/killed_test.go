package mesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/quota"
)

// However many nodes are killed and come back while a team asks for six times its limit,
// no window exceeds the limit and its slack, summed over all nodes and their restarts.
func TestTeamStaysWithinItsLimitWhileNodesAreKilled(t *testing.T) {
	slack := quota.Slack{Window: 8 * time.Second, Overshoot: 0.1, Fixed: 140_000}
	team := &catalog.Team{Name: "t", Rate: 80_000, Burst: 80_000, ByTokens: true}
	allowed := (team.Rate*slack.Window.Seconds()+team.Burst)*(1+slack.Overshoot) + slack.Fixed
	owners := []string{"a00", "b00"}
	all := []string{"a00", "a01", "b00", "b01", "c00", "c01", "d00", "d01"}
	for _, k := range []struct {
		zones  []int
		killed []string
	}{{[]int{2, 2, 2}, owners}, {[]int{3, 3, 2}, owners}, {[]int{2, 2, 2, 2}, owners}, {[]int{2, 2, 2, 2}, owners[:1]}, {[]int{2, 2, 2, 2}, all}, {[]int{12, 2}, owners}} {
		for _, down := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second} {
			t.Run(fmt.Sprint(k.zones, " killed ", k.killed, " down ", down), func(t *testing.T) {
				for seed := range uint64(2) {
					synctest.Test(t, func(t *testing.T) {
						d := newVirtualDeployment(slack, k.zones...)
						r := rand.New(rand.NewPCG(seed, 1))
						d.load(r, team, 0, 10*time.Second)
						d.load(r, team, 6, 4*time.Second+time.Duration(seed)*1700*time.Millisecond)
						for _, name := range k.killed {
							d.byName(name).kill()
						}
						if len(k.killed) < len(d.nodes) {
							d.load(r, team, 6, down)
						} else {
							time.Sleep(down)
						}
						for _, name := range k.killed {
							d.byName(name).start()
						}
						d.load(r, team, 6, 10*time.Second)
						if got, end := d.maxInWindow(); got > allowed {
							t.Errorf("seed %d: %.0f in the window that ends at %v, allowed %.0f", seed, got, end.Sub(d.admitted[0].at), allowed)
						}
					})
				}
			})
		}
	}
}
