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

// refusalInterval is the minimum time between two log lines about refused requests.
const refusalInterval = 10 * time.Second

// authenticator accepts requests with the bearer token or an operator's certificate.
type authenticator struct {
	token    [sha256.Size]byte
	hasToken bool
	logger   *logging.RateLimitedLogger
}

func newAuthenticator(token string, logger log.Interface) authenticator {
	return authenticator{
		token:    sha256.Sum256([]byte(token)),
		hasToken: token != "",
		logger:   logging.NewRateLimitedLogger(logger, refusalInterval),
	}
}

// accepts reports whether a request is authenticated.
func (a authenticator) accepts(r *http.Request) bool {
	return a.acceptsToken(r) || acceptsCertificate(r)
}

// acceptsToken compares digests in constant time, so that the time depends neither
// on the content nor on the length of the token.
func (a authenticator) acceptsToken(r *http.Request) bool {
	scheme, given, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	digest := sha256.Sum256([]byte(given))
	same := subtle.ConstantTimeCompare(digest[:], a.token[:]) == 1
	return a.hasToken && same && strings.EqualFold(scheme, "Bearer")
}

// acceptsCertificate checks the role in the client's certificate. The TLS
// configuration has verified its chain.
func acceptsCertificate(r *http.Request) bool {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return false
	}
	role, ok := pki.RoleOf(r.TLS.PeerCertificates[0])
	return ok && role == pki.RoleOperator
}

// requireAuth passes authenticated requests to next and refuses all others.
func (a authenticator) requireAuth(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.accepts(r) {
			a.logger.Warn(time.Now(), "administration request refused", log.Fields{"remote": r.RemoteAddr, "path": r.URL.Path})
			writeProblem(w, errkind.New(errkind.Unauthenticated, "the administration API needs authentication",
				"send the adminToken of the settings as bearer token, or use the certificate of an operator"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
