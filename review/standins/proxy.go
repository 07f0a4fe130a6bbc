package main

import (
	"net"
	"sync"
)

// proxy forwards channels to one address. Open channels can fall silent for good, without
// a reset, while new ones work.
type proxy struct {
	address, forward string

	mu       sync.Mutex
	channels map[*proxied]bool
}

// proxied is one channel through a proxy.
type proxied struct {
	mu     sync.Mutex
	silent bool
	ends   [2]net.Conn
}

func startProxy(forward string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), forward: forward, channels: make(map[*proxied]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(c net.Conn) {
	far, err := net.Dial("tcp4", p.forward)
	if err != nil {
		c.Close()
		return
	}
	channel := &proxied{ends: [2]net.Conn{c, far}}
	p.mu.Lock()
	p.channels[channel] = true
	p.mu.Unlock()
	var copying sync.WaitGroup
	copying.Go(func() { channel.copy(far, c) })
	copying.Go(func() { channel.copy(c, far) })
	copying.Wait()
	p.mu.Lock()
	delete(p.channels, channel)
	p.mu.Unlock()
}

// copy passes bytes on until an end closes. A silent channel passes on nothing, not even
// that.
func (c *proxied) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		if n > 0 && !silent {
			_, writeErr := to.Write(buffer[:n])
			if err == nil {
				err = writeErr
			}
		}
		c.mu.Unlock()
		if err != nil {
			if !silent {
				to.Close()
				from.Close()
			}
			return
		}
	}
}

// silence makes the open channels silent, and returns how many there are.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.channels {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.channels)
}
