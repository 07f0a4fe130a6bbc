package admission

import (
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

func errNotOwner(group string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_NOT_OWNER,
		"this node does not own group "+group,
		"ask the owner in the current topology").WithOutcomeNotRun()
}

func errDraining() error {
	return fault.New(schema.ErrorKind_ERROR_KIND_DRAINING,
		"the group's owner is shutting down",
		"ask the next owner").WithOutcomeNotRun()
}

func errOverloaded(service string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_OVERLOADED,
		"service "+service+" is overloaded and sheds this tier",
		"retry later with backoff, or add targets to the service").WithOutcomeNotRun().WithRetryAfter(retryAfterShed)
}

func errDeadline() error {
	return fault.New(schema.ErrorKind_ERROR_KIND_DEADLINE,
		"the request cannot get its first token before its deadline",
		"retry later, or allow a longer deadline").WithOutcomeNotRun().WithRetryAfter(retryAfterShed)
}

func errNoTarget(service, model string) error {
	message := "no target of service " + service + " can run the request"
	if model != "" {
		message += " for model " + model
	}
	return fault.New(schema.ErrorKind_ERROR_KIND_NO_TARGET, message,
		"list the model on a workload of the service, or add a target").WithOutcomeNotRun()
}
