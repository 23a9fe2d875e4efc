package pki

import "github.com/VictoriaMetrics/metrics"

// metricNotAfter is the Unix time at which the certificate of the process expires.
const metricNotAfter = "almondledge_certificate_not_after_seconds"

// Register adds the expiry time of the certificate to set.
func (i *Identity) Register(set *metrics.Set) {
	set.NewGauge(metricNotAfter, func() float64 { return float64(i.NotAfter().Unix()) })
}
