package ledger

import (
	"fmt"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

func errNotOwner(shard uint32, owner string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_NOT_OWNER,
		fmt.Sprintf("ledger shard %d is owned by %q", shard, owner), "ask the owner").WithOutcomeNotRun()
}

func errStoreUnavailable(cause error) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, cause,
		"the claim could not be written to the object API",
		"send the request again with the same Idempotency-Key once the platform answers").WithOutcomeNotRun().WithRetryAfter(claimTimeout)
}

func errKeyReused() error {
	return fault.New(schema.ErrorKind_ERROR_KIND_KEY_REUSED,
		"the Idempotency-Key was used for another request", "send a new key with each new request").WithOutcomeNotRun()
}

func errKeyExpired(age, retention time.Duration) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_KEY_EXPIRED,
		fmt.Sprintf("the Idempotency-Key is %s old, and keys are kept for %s", age.Round(time.Second), retention),
		"check whether the earlier request ran, then send it with a new key").WithOutcomeNotRun()
}

func errKeyInFuture() error {
	return fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST,
		"the Idempotency-Key is a UUID of version 7 whose time lies in the future",
		"set the caller's clock, or use a random UUID").WithOutcomeNotRun()
}

func errShardFull(shard uint32) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_LIMIT_EXCEEDED,
		fmt.Sprintf("ledger shard %d is full", shard),
		"raise ledger.shards or shorten ledger.retention").WithOutcomeNotRun().WithRetryAfter(time.Minute)
}

func errStopped() error {
	return fault.New(schema.ErrorKind_ERROR_KIND_DRAINING,
		"the ledger of this node has stopped", "ask the shard's next owner").WithOutcomeNotRun()
}
