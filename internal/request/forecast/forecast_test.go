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
	table := forecast.New()
	is.Equal(table.OutputTokens("drafting", "school"), ident.Tokens(128))
	is.Equal(table.TimeToFirstByte("drafting"), time.Duration(0))
	for range 50 {
		table.ObserveOutputTokens("drafting", "school", 1000)
		table.ObserveTimeToFirstByte("drafting", 300*time.Millisecond)
	}
	is.Equal(table.OutputTokens("drafting", "school"), ident.Tokens(1000))
	is.Equal(table.OutputTokens("drafting", "parish"), ident.Tokens(1000)) // The class's mean, until its own is known.
	for range 5 {
		table.ObserveOutputTokens("drafting", "parish", 10)
	}
	is.True(table.OutputTokens("drafting", "parish") <= 20)
	is.True(table.TimeToFirstByte("drafting").Round(time.Millisecond) == 300*time.Millisecond)
}
