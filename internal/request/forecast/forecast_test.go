package forecast_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/request/forecast"
	"vanillapond/pkg/ident"
)

func TestEstimator(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	estimator := forecast.New()
	is.Equal(estimator.OutputTokens("drafting", "school"), ident.Tokens(128))
	is.Equal(estimator.TimeToFirstByte("drafting"), time.Duration(0))
	for range 50 {
		estimator.ObserveOutputTokens("drafting", "school", 1000)
		estimator.ObserveTimeToFirstByte("drafting", 300*time.Millisecond)
	}
	is.Equal(estimator.OutputTokens("drafting", "school"), ident.Tokens(1000))
	is.Equal(estimator.OutputTokens("drafting", "parish"), ident.Tokens(1000)) // The class's mean, until its own is known.
	for range 5 {
		estimator.ObserveOutputTokens("drafting", "parish", 10)
	}
	is.True(estimator.OutputTokens("drafting", "parish") <= 20)
	is.True(estimator.TimeToFirstByte("drafting").Round(time.Millisecond) == 300*time.Millisecond)
}
