package metrics_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/metrics"
	"vanillapond/pkg/ident"
)

// scrape returns the exported line that starts with a prefix, or nothing.
func scrape(m *metrics.Metrics, prefix string) string {
	answer := httptest.NewRecorder()
	m.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for line := range strings.Lines(answer.Body.String()) {
		if strings.HasPrefix(line, prefix) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

func ended(m *metrics.Metrics, customer ident.Customer, result metrics.Result, count int) {
	for range count {
		m.CountRequest(metrics.Sample{Class: "chat", Customer: customer, Result: result, Tokens: 10, FirstByte: time.Second})
	}
}

func TestMetrics(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := metrics.New(metrics.Config{Now: func() time.Time { return now }})
	ended(m, "large", metrics.ResultAttained, 90)
	ended(m, "small", metrics.ResultAttained, 5)
	ended(m, "small", metrics.ResultMissed, 5)
	ended(m, "rare", metrics.ResultMissed, 1)
	m.CountRequest(metrics.Sample{Class: "chat", Customer: "large", Result: metrics.ResultRefused, Code: "overloaded"})
	is.Equal(scrape(m, "vanillapond_worst_customer_attainment"), `vanillapond_worst_customer_attainment{class="chat"} 0.5`)
	is.Equal(scrape(m, "vanillapond_goodput_tokens_total"), `vanillapond_goodput_tokens_total{class="chat"} 950`)
	is.Equal(scrape(m, "vanillapond_wasted_tokens_total"), `vanillapond_wasted_tokens_total{class="chat"} 60`)
	is.Equal(scrape(m, `vanillapond_refusals_total`), `vanillapond_refusals_total{class="chat",code="overloaded"} 1`)
	is.Equal(scrape(m, `vanillapond_requests_total{class="chat",result="attained"}`), `vanillapond_requests_total{class="chat",result="attained"} 95`)

	now = now.Add(90 * time.Second)
	ended(m, "small", metrics.ResultAttained, 10)
	is.Equal(scrape(m, "vanillapond_worst_customer_attainment"), `vanillapond_worst_customer_attainment{class="chat"} 0.75`)
	now = now.Add(3 * time.Minute)
	is.Equal(scrape(m, "vanillapond_worst_customer_attainment"), "")
}
