package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/pki"
)

// refusalInterval is the time between two log lines about refused requests.
const refusalInterval = 10 * time.Second

// authenticator accepts the bearer token or the certificate of an operator.
type authenticator struct {
	token   [sha256.Size]byte
	usable  bool
	limited *logging.RateLimitedLogger
}

func newAuthenticator(token string, logger log.Interface) authenticator {
	return authenticator{
		token:   sha256.Sum256([]byte(token)),
		usable:  token != "",
		limited: logging.NewRateLimitedLogger(logger, refusalInterval),
	}
}

// accepts reports whether a request may administer the process.
func (a authenticator) accepts(r *http.Request) bool {
	return a.acceptsToken(r) || acceptsCertificate(r)
}

// acceptsToken compares digests, so that the time taken depends on neither the
// content nor the length of the token.
func (a authenticator) acceptsToken(r *http.Request) bool {
	scheme, given, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	digest := sha256.Sum256([]byte(given))
	same := subtle.ConstantTimeCompare(digest[:], a.token[:]) == 1
	return a.usable && same && strings.EqualFold(scheme, "Bearer")
}

// acceptsCertificate relies on the TLS configuration, which has verified the
// chain of any certificate that a client sent.
func acceptsCertificate(r *http.Request) bool {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return false
	}
	role, ok := pki.RoleOf(r.TLS.PeerCertificates[0])
	return ok && role == pki.RoleOperator
}

// guard lets only authenticated requests through.
func (a authenticator) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.accepts(r) {
			a.limited.Warn(time.Now(), "administration request refused", log.Fields{"remote": r.RemoteAddr, "path": r.URL.Path})
			writeProblem(w, errkind.New(errkind.Unauthenticated, "the administration API needs authentication",
				"send the adminToken of the settings as bearer token, or use the certificate of an operator"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
