package entrysoak

import "time"

// upgradePause is the time between two steps of an upgrade.
const upgradePause = 500 * time.Millisecond

// upgrade replaces the nodes one after the other by the newer build, if they run an older one.
// With every second seed the first half is rolled back in between.
func (env *environment) upgrade() {
	if env.options.OldProgram == "" {
		return
	}
	steps := [][]*node{env.nodes}
	programs := []string{env.options.Program}
	if half := env.nodes[:len(env.nodes)/2]; env.options.Seed%2 == 0 {
		steps = [][]*node{half, half, env.nodes}
		programs = []string{env.options.Program, env.options.OldProgram, env.options.Program}
	}
	for i, nodes := range steps {
		for _, n := range nodes {
			n.SetProgram(programs[i])
			if err := env.stop(n); err != nil {
				env.history.addViolation("upgrade of %s: %v", n.name, err)
			}
			time.Sleep(upgradePause)
		}
	}
}
