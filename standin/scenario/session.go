package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/delay"
	"github.com/primrosemoor/primrosemoor/standin/caller"
	"github.com/primrosemoor/primrosemoor/standin/checker"
	"github.com/primrosemoor/primrosemoor/standin/deployment"
	"github.com/primrosemoor/primrosemoor/standin/history"
)

// observeInterval is the polling interval for each node's revision.
const observeInterval = 200 * time.Millisecond

// session holds the state of one scenario run.
type session struct {
	ctx       context.Context
	directory string
	binaries  string
	seed      uint64

	history          *history.Writer
	deployment       *deployment.Deployment
	caller           *caller.Caller
	size             string
	sizeOverride     string
	groups           map[string]*group
	coveredFailures  map[Failure]bool
	requiredPromises []checker.Promise
	observers        sync.WaitGroup
	cancel           context.CancelFunc
}

func newSession(ctx context.Context, directory string, o Options) (*session, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, err
	}
	h, err := history.NewWriter(filepath.Join(directory, "history.jsonl"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	return &session{
		ctx:             ctx,
		cancel:          cancel,
		directory:       directory,
		binaries:        o.Binaries,
		seed:            o.Seed,
		sizeOverride:    o.Size,
		history:         h,
		caller:          caller.New(h),
		groups:          make(map[string]*group),
		coveredFailures: make(map[Failure]bool),
	}, nil
}

// close cancels the session's context, waits for callers and observers, and ends
// all processes.
func (s *session) close() {
	s.cancel()
	for _, g := range s.groups {
		<-g.done
	}
	s.observers.Wait()
	if s.deployment != nil {
		s.deployment.Close()
	}
	s.history.Close()
}

var errNoDeployment = errors.New("no deployment is running; the scenario must begin with deploy")

// activeDeployment returns the deployment, or errNoDeployment before deploy.
func (s *session) activeDeployment() (*deployment.Deployment, error) {
	if s.deployment == nil {
		return nil, errNoDeployment
	}
	return s.deployment, nil
}

func (s *session) deploy(size string, engineArgs, serviceArgs []string) error {
	if s.deployment != nil {
		return errors.New("a deployment is already running")
	}
	if s.sizeOverride != "" {
		size = s.sizeOverride
	}
	d, err := deployment.Start(s.ctx, deployment.Options{
		Size:        size,
		Binaries:    s.binaries,
		Directory:   s.directory,
		EngineArgs:  engineArgs,
		ServiceArgs: serviceArgs,
		History:     s.history,
	})
	s.deployment, s.size = d, size
	return err
}

// send implements "send NAME [flags]": it starts a group and, unless it runs in
// the background, waits for it.
func (s *session) send(args []string) error {
	name, options, err := parseSend(args)
	if err != nil {
		return err
	}
	d, err := s.activeDeployment()
	if err != nil {
		return err
	}
	if s.groups[name] != nil {
		return fmt.Errorf("group %s was already sent", name)
	}
	g := newGroup(name, options, s.seed)
	s.groups[name] = g
	go g.run(s.ctx, d, s.caller)
	if options.Background {
		return nil
	}
	return s.waitForGroup(name)
}

// waitForGroup waits until all requests of a group have ended.
func (s *session) waitForGroup(name string) error {
	g, ok := s.groups[name]
	if !ok {
		return fmt.Errorf("group %q was not sent", name)
	}
	select {
	case <-g.done:
		return g.err
	case <-s.ctx.Done():
		return fmt.Errorf("group %s has not ended: %w", name, s.ctx.Err())
	}
}

// observe polls every node for its configuration revision in the background
// until the session ends.
func (s *session) observe() error {
	d, err := s.activeDeployment()
	if err != nil {
		return err
	}
	for i := range d.Nodes {
		n := d.Node(i)
		s.observers.Go(func() {
			for delay.Sleep(s.ctx, observeInterval) {
				d.Observe(s.ctx, n)
			}
		})
	}
	return nil
}

// waitRevision waits until every running node shows the last accepted revision;
// it fails after the time limit.
func (s *session) waitRevision(limit time.Duration) error {
	d, err := s.activeDeployment()
	if err != nil {
		return err
	}
	want := d.Revision()
	deadline := time.Now().Add(limit)
	for _, n := range d.RunningNodes() {
		for {
			observed, err := d.Observe(s.ctx, n)
			if err != nil {
				return err
			}
			if observed >= want {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s shows revision %d, not %d, after %v", n.Name, observed, want, limit)
			}
			if !delay.Sleep(s.ctx, observeInterval) {
				return s.ctx.Err()
			}
		}
	}
	return nil
}
