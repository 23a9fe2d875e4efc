package gateway

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/almondledge/almondledge/internal/service"
)

// repeatableMethods are the idempotent methods of RFC 9110, section 9.2.2.
var repeatableMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace,
}

// isRepeatable reports whether r may run more than once.
func isRepeatable(spec service.Spec, r *http.Request) bool {
	if slices.Contains(repeatableMethods, r.Method) {
		return true
	}
	return slices.ContainsFunc(spec.Repeat.RepeatablePaths, func(prefix string) bool {
		return hasPathPrefix(r.URL.Path, prefix)
	})
}

// hasPathPrefix reports whether path is prefix or lies below it. The prefix
// /search covers /search/rooms and not /searches.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// servesHost reports whether the service answers requests for host.
func servesHost(spec service.Spec, host string) bool {
	if len(spec.HostNames) == 0 {
		return true
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	host = strings.TrimSuffix(host, ".")
	return slices.ContainsFunc(spec.HostNames, func(name string) bool {
		return strings.EqualFold(name, host)
	})
}
