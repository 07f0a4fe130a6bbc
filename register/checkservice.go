package register

import (
	"fmt"
	"slices"
	"strings"

	"github.com/primrosemoor/primrosemoor/schema"
)

func (k *checker) checkServices() {
	checkNames(k, "services", k.config.GetServices())
	for i, s := range k.config.GetServices() {
		key := k.elementKey("services", i)
		k.checkTierRef(key+".tier", s.GetTier())
		switch s.GetKind() {
		case schema.ServiceKind_SERVICE_KIND_ENGINE:
			k.checkEngineService(key, s)
		case schema.ServiceKind_SERVICE_KIND_PLAIN:
			k.checkPlainService(key, s)
		default:
			k.report(key+".kind", "missing", "write engine or plain")
		}
	}
}

func (k *checker) checkEngineService(key string, s *schema.Service) {
	if len(s.GetModels()) == 0 {
		k.report(key+".models", "no model", "name the models that callers may ask for")
	}
	for j, model := range s.GetModels() {
		if model == "" || slices.Index(s.GetModels(), model) != j {
			k.report(fmt.Sprintf("%s.models[%d]", key, j), fmt.Sprintf("found %q", model), "name each model once")
		}
	}
	if len(s.GetRoutes()) > 0 {
		k.report(key+".routes", "an engine has no routes", "remove them, or write kind = \"plain\"")
	}
	for j, r := range s.GetReplicas() {
		if !slices.Contains(s.GetModels(), r.GetModel()) {
			k.report(fmt.Sprintf("%s.replicas[%d].model", key, j), fmt.Sprintf("unknown model %q", r.GetModel()), "name one of the service's models")
		}
	}
}

func (k *checker) checkPlainService(key string, s *schema.Service) {
	if len(s.GetModels()) > 0 || len(s.GetReplicas()) > 0 {
		k.report(key+".models", "a plain service has no models", "remove models and replicas, or write kind = \"engine\"")
	}
	if s.GetMaxConcurrency() == 0 {
		k.report(key+".max_concurrency", "missing", "write how many requests one target may run at a time")
	}
	for j, r := range s.GetRoutes() {
		routeKey := k.nestedKey(key, "routes", j)
		if !strings.HasPrefix(r.GetPathPrefix(), "/") {
			k.report(routeKey+".path_prefix", fmt.Sprintf("found %q", r.GetPathPrefix()), "begin the path with /")
		}
		if r.GetMethod() != strings.ToUpper(r.GetMethod()) {
			k.report(routeKey+".method", fmt.Sprintf("found %q", r.GetMethod()), "write the method in upper case")
		}
		if r.GetTier() != "" {
			k.checkTierRef(routeKey+".tier", r.GetTier())
		}
	}
}
