package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sony/gobreaker/v2"

	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	defaultCallTimeout = 2 * time.Second
	// watchTimeoutMargin is added to a watch's wait to give the call's timeout.
	watchTimeoutMargin = 2 * time.Second
	// breakerFailures consecutive failures open the circuit breaker for
	// breakerOpenDuration.
	breakerFailures     = 5
	breakerOpenDuration = time.Second
	// maxResponseBytes limits the size of a response body; those of lists and
	// watches are the largest.
	maxResponseBytes = 64 << 20
	// maxHeadBytes limits the head of a response, and maxErrorBytes what is read of the
	// body of an error, so that the connection of a short one can be used again.
	maxHeadBytes  = 64 << 10
	maxErrorBytes = 64 << 10
	maxIdleConns  = 16
)

// HTTP is a Store that calls the platform's object API over HTTP. It is safe for
// concurrent use.
type HTTP struct {
	base          string
	token         string
	callTimeout   time.Duration
	client        *http.Client
	budget        *budget
	breaker       *gobreaker.CircuitBreaker[*apiResponse]
	calls         atomic.Uint64
	bytesSent     atomic.Uint64
	bytesReceived atomic.Uint64
}

// Usage counts the calls and body bytes that a node has sent to and received from
// the object API since its start.
type Usage struct {
	Calls         uint64
	BytesSent     uint64
	BytesReceived uint64
}

// apiResponse is a complete HTTP response.
type apiResponse struct {
	status     int
	version    Version
	retryAfter time.Duration
	body       []byte
}

// call is one HTTP request to the object API.
type call struct {
	method  string
	path    string
	key     string
	body    []byte
	expect  Version
	write   bool
	timeout time.Duration
}

// NewHTTP returns a client of the object API at settings.url. Its connections use
// sourceAddress as their local IP address unless that is empty. It reads the
// token file once.
func NewHTTP(settings *schema.PlatformSettings, sourceAddress string) (*HTTP, error) {
	base, err := url.Parse(settings.GetUrl())
	if err != nil || base.Host == "" {
		return nil, fmt.Errorf("platform.url %q is not an absolute URL", settings.GetUrl())
	}
	token, err := readToken(settings.GetTokenFile())
	if err != nil {
		return nil, err
	}
	h := &HTTP{
		base:        strings.TrimSuffix(base.String(), "/"),
		token:       token,
		callTimeout: settings.GetCallTimeout().AsDuration(),
		client:      newClient(sourceAddress),
		budget:      newBudget(settings.GetCallsPerSecond(), settings.GetBytesPerSecond()),
		breaker:     newBreaker(),
	}
	if h.callTimeout <= 0 {
		h.callTimeout = defaultCallTimeout
	}
	return h, nil
}

func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("reading platform.token_file: %w", err)
	}
	return strings.TrimSpace(string(raw)), nil
}

func newClient(sourceAddress string) *http.Client {
	dialer := &net.Dialer{Timeout: defaultCallTimeout}
	if ip := net.ParseIP(sourceAddress); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

func newBreaker() *gobreaker.CircuitBreaker[*apiResponse] {
	return gobreaker.NewCircuitBreaker[*apiResponse](gobreaker.Settings{
		Name:    "object API",
		Timeout: breakerOpenDuration,
		ReadyToTrip: func(counts gobreaker.Counts) bool {
			return counts.ConsecutiveFailures >= breakerFailures
		},
		IsExcluded: func(err error) bool { return errors.Is(err, context.Canceled) },
	})
}

// Usage returns the calls and bytes since the start.
func (h *HTTP) Usage() Usage {
	return Usage{Calls: h.calls.Load(), BytesSent: h.bytesSent.Load(), BytesReceived: h.bytesReceived.Load()}
}

// Reachable reports whether the circuit breaker is closed or half-open; it opens
// after breakerFailures consecutive failures.
func (h *HTTP) Reachable() bool {
	return h.breaker.State() != gobreaker.StateOpen
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.client.CloseIdleConnections()
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Object, error) {
	resp, err := h.do(ctx, call{method: http.MethodGet, path: objectPath(key), key: key})
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: resp.version, Value: resp.body}, nil
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, expect Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, errTooLarge(key)
	}
	c := call{method: http.MethodPut, path: objectPath(key), key: key, body: value, expect: expect, write: true}
	resp, err := h.do(ctx, c)
	if err != nil {
		return 0, err
	}
	if resp.version == 0 {
		return 0, errUnknownEffect(errors.New("the answer has no ETag"), key)
	}
	return resp.version, nil
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, key string, expect Version) error {
	c := call{method: http.MethodDelete, path: objectPath(key), key: key, expect: expect, write: true}
	_, err := h.do(ctx, c)
	return err
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Object, error) {
	changes, err := h.changes(ctx, call{
		method: http.MethodGet,
		path:   "/v1/objects?prefix=" + url.QueryEscape(prefix),
		key:    prefix,
	})
	return changes.Objects, err
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, prefix string, cursor uint64, wait time.Duration) (Changes, error) {
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("cursor", strconv.FormatUint(cursor, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return h.changes(ctx, call{
		method:  http.MethodGet,
		path:    "/v1/watch?" + query.Encode(),
		key:     prefix,
		timeout: wait + watchTimeoutMargin,
	})
}

// VMs implements Store.
func (h *HTTP) VMs(ctx context.Context) ([]VMStatus, error) {
	resp, err := h.do(ctx, call{method: http.MethodGet, path: "/v1/vms"})
	if err != nil {
		return nil, err
	}
	var vms []VMStatus
	if err := json.Unmarshal(resp.body, &vms); err != nil {
		return nil, errUnavailable(fmt.Errorf("decoding the list of VMs: %w", err))
	}
	return vms, nil
}

func (h *HTTP) changes(ctx context.Context, c call) (Changes, error) {
	resp, err := h.do(ctx, c)
	if err != nil {
		return Changes{}, err
	}
	var changes Changes
	if err := json.Unmarshal(resp.body, &changes); err != nil {
		return Changes{}, errUnavailable(fmt.Errorf("decoding objects: %w", err))
	}
	return changes, nil
}

func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return "/v1/objects/" + strings.Join(segments, "/")
}

// do waits for the budget, sends one call through the circuit breaker and
// converts the response's status into a typed error.
func (h *HTTP) do(ctx context.Context, c call) (*apiResponse, error) {
	timeout := c.timeout
	if timeout <= 0 {
		timeout = h.callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := h.budget.acquire(ctx, len(c.body)); err != nil {
		return nil, err
	}
	resp, err := h.breaker.Execute(func() (*apiResponse, error) { return h.send(ctx, c) })
	if err != nil {
		return nil, h.classifyError(err, c)
	}
	return resp, statusError(resp, c)
}

// errNoEffect marks failures after which the call is known to have had no effect.
var errNoEffect = errors.New("the call had no effect")

func (h *HTTP) classifyError(err error, c call) error {
	rejected := errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests)
	if !c.write || rejected || errors.Is(err, errNoEffect) {
		return errUnavailable(err)
	}
	return errUnknownEffect(err, c.key)
}

func (h *HTTP) send(ctx context.Context, c call) (*apiResponse, error) {
	request, err := h.request(ctx, c)
	if err != nil {
		return nil, errors.Join(errNoEffect, err)
	}
	h.calls.Add(1)
	h.bytesSent.Add(uint64(len(c.body)))
	response, err := h.client.Do(request)
	if err != nil {
		return nil, markDialError(err)
	}
	defer response.Body.Close()
	limit := int64(maxResponseBytes)
	if response.StatusCode >= http.StatusBadRequest {
		limit = maxErrorBytes
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return nil, err
	}
	h.bytesReceived.Add(uint64(len(body)))
	h.budget.chargeReceived(len(body))
	resp := &apiResponse{status: response.StatusCode, body: body}
	resp.version = parseETag(response.Header.Get("ETag"))
	resp.retryAfter = parseRetryAfter(response.Header.Get("Retry-After"))
	return resp, serverError(resp)
}

func (h *HTTP) request(ctx context.Context, c call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, c.method, h.base+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	if h.token != "" {
		request.Header.Set("Authorization", "Bearer "+h.token)
	}
	if c.write {
		setPrecondition(request.Header, c.expect)
	}
	return request, nil
}

func setPrecondition(header http.Header, expect Version) {
	if expect == 0 {
		header.Set("If-None-Match", "*")
		return
	}
	header.Set("If-Match", formatETag(expect))
}
