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

// observeInterval is the time between looks at each node's revision.
const observeInterval = 200 * time.Millisecond

// session is the state of one scenario's run.
type session struct {
	ctx       context.Context
	directory string
	binaries  string
	seed      uint64

	history    *history.Writer
	deployment *deployment.Deployment
	caller     *caller.Caller
	size       string
	forced     string
	groups     map[string]*group
	covers     map[Failure]bool
	required   []checker.Promise
	observers  sync.WaitGroup
	stop       context.CancelFunc
}

func newSession(ctx context.Context, directory string, o Options) (*session, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, err
	}
	h, err := history.NewWriter(filepath.Join(directory, "history.jsonl"))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	return &session{
		ctx:       ctx,
		stop:      stop,
		directory: directory,
		binaries:  o.Binaries,
		seed:      o.Seed,
		forced:    o.Size,
		history:   h,
		caller:    caller.New(h),
		groups:    make(map[string]*group),
		covers:    make(map[Failure]bool),
	}, nil
}

// close ends callers and processes.
func (s *session) close() {
	s.stop()
	for _, g := range s.groups {
		<-g.done
	}
	s.observers.Wait()
	if s.deployment != nil {
		s.deployment.Close()
	}
	s.history.Close()
}

var errNoDeployment = errors.New("no deployment runs; begin the scenario with deploy")

func (s *session) running() (*deployment.Deployment, error) {
	if s.deployment == nil {
		return nil, errNoDeployment
	}
	return s.deployment, nil
}

func (s *session) deploy(size string, engineArgs, serviceArgs []string) error {
	if s.deployment != nil {
		return errors.New("a deployment runs already")
	}
	if s.forced != "" {
		size = s.forced
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

// send starts a group and, unless it runs in the background, waits for it.
func (s *session) send(args []string) error {
	name, options, err := parseSend(args)
	if err != nil {
		return err
	}
	d, err := s.running()
	if err != nil {
		return err
	}
	if s.groups[name] != nil {
		return fmt.Errorf("group %s was sent already", name)
	}
	g := newGroup(name, options, s.seed)
	s.groups[name] = g
	go g.run(s.ctx, d, s.caller)
	if options.Background {
		return nil
	}
	return s.wait(name)
}

func (s *session) wait(name string) error {
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

// observe asks every node for its revision, again and again, until the
// session ends.
func (s *session) observe() error {
	d, err := s.running()
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

// waitRevision waits until every running node shows the accepted revision.
func (s *session) waitRevision(limit time.Duration) error {
	d, err := s.running()
	if err != nil {
		return err
	}
	want := d.Revision()
	deadline := time.Now().Add(limit)
	for _, n := range d.RunningNodes() {
		for {
			seen, err := d.Observe(s.ctx, n)
			if err != nil {
				return err
			}
			if seen >= want {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s shows revision %d, not %d, after %v", n.Name, seen, want, limit)
			}
			if !delay.Sleep(s.ctx, observeInterval) {
				return s.ctx.Err()
			}
		}
	}
	return nil
}
