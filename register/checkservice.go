package register

import (
	"fmt"
	"slices"
	"strings"

	"github.com/primrosemoor/primrosemoor/schema"
)

func (k *checker) services() {
	names(k, "services", k.config.GetServices())
	for i, s := range k.config.GetServices() {
		key := k.at("services", i)
		k.knownTier(key+".tier", s.GetTier())
		switch s.GetKind() {
		case schema.ServiceKind_SERVICE_KIND_ENGINE:
			k.engine(key, s)
		case schema.ServiceKind_SERVICE_KIND_PLAIN:
			k.plain(key, s)
		default:
			k.fail(key+".kind", "missing", "write engine or plain")
		}
	}
}

func (k *checker) engine(key string, s *schema.Service) {
	if len(s.GetModels()) == 0 {
		k.fail(key+".models", "no model", "name the models that callers may ask for")
	}
	for j, model := range s.GetModels() {
		if model == "" || slices.Index(s.GetModels(), model) != j {
			k.fail(fmt.Sprintf("%s.models[%d]", key, j), fmt.Sprintf("found %q", model), "name each model once")
		}
	}
	if len(s.GetRoutes()) > 0 {
		k.fail(key+".routes", "an engine has no routes", "remove them, or write kind = \"plain\"")
	}
	for j, r := range s.GetReplicas() {
		if !slices.Contains(s.GetModels(), r.GetModel()) {
			k.fail(fmt.Sprintf("%s.replicas[%d].model", key, j), fmt.Sprintf("unknown model %q", r.GetModel()), "name one of the service's models")
		}
	}
}

func (k *checker) plain(key string, s *schema.Service) {
	if len(s.GetModels()) > 0 || len(s.GetReplicas()) > 0 {
		k.fail(key+".models", "a plain service has no models", "remove models and replicas, or write kind = \"engine\"")
	}
	if s.GetMaxConcurrency() == 0 {
		k.fail(key+".max_concurrency", "missing", "write how many requests one target may run at a time")
	}
	for j, r := range s.GetRoutes() {
		at := k.below(key, "routes", j)
		if !strings.HasPrefix(r.GetPathPrefix(), "/") {
			k.fail(at+".path_prefix", fmt.Sprintf("found %q", r.GetPathPrefix()), "begin the path with /")
		}
		if r.GetMethod() != strings.ToUpper(r.GetMethod()) {
			k.fail(at+".method", fmt.Sprintf("found %q", r.GetMethod()), "write the method in upper case")
		}
		if r.GetTier() != "" {
			k.knownTier(at+".tier", r.GetTier())
		}
	}
}
