package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"vanillapond/pkg/api"
	"vanillapond/pkg/ident"
)

// responseTimeout limits the time for one request and its complete response.
const responseTimeout = 2 * time.Minute

// Config configures a run.
type Config struct {
	Plan Plan
	Seed uint64
	// Entries lists base URLs of entries; requests are sent to them in turn.
	Entries []string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Sample is the result of one request.
type Sample struct {
	Arrival Arrival
	// TimeToFirstToken and TimeToCompletion are measured from the start of the request; TimeToCompletion is 0 if the response is
	// incomplete.
	TimeToFirstToken time.Duration
	TimeToCompletion time.Duration
	// Tokens counts the stream events received, one token each.
	Tokens ident.Tokens
	// RefusalCode is the code of a refusal; NotRun is set if the refusal says that the request was not run.
	RefusalCode api.Code
	NotRun      bool
}

// MetTarget reports whether the response is complete and its first token arrived in time.
func (s Sample) MetTarget() bool {
	return s.TimeToCompletion > 0 && s.TimeToFirstToken <= time.Duration(s.Arrival.Class.FirstTokenMS)*time.Millisecond
}

// Run sends the plan's requests at their times, without waiting for earlier responses, and then waits for all responses.
func Run(ctx context.Context, config Config) []Sample {
	if config.HTTP == nil {
		config.HTTP = http.DefaultClient
	}
	arrivals := config.Plan.Arrivals(config.Seed)
	samples := make([]Sample, len(arrivals))
	var pending sync.WaitGroup
	start := time.Now()
	for index, arrival := range arrivals {
		select {
		case <-time.After(time.Until(start.Add(arrival.At))):
		case <-ctx.Done():
			pending.Wait()
			return samples[:index]
		}
		pending.Go(func() { samples[index] = send(ctx, config, index, arrival) })
	}
	pending.Wait()
	return samples
}

func send(ctx context.Context, config Config, index int, arrival Arrival) Sample {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	sample := Sample{Arrival: arrival}
	url := config.Entries[index%len(config.Entries)] + api.PathChat
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%d %s"}]}`,
		config.Plan.Model, arrival.Tokens, index, strings.Repeat("x", arrival.Class.PromptBytes))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return sample
	}
	request.Header.Set(api.HeaderAuthorization, "Bearer "+arrival.Customer.Key)
	request.Header.Set(api.HeaderClass, string(arrival.Class.ID))
	start := time.Now()
	response, err := config.HTTP.Do(request)
	if err != nil {
		return sample
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		var refusal api.Error
		_ = json.NewDecoder(response.Body).Decode(&refusal)
		sample.RefusalCode, sample.NotRun = refusal.Error.Code, refusal.Error.NotRun
		return sample
	}
	sample.readStream(response, start)
	return sample
}

// readStream reads the event stream of a response.
func (s *Sample) readStream(response *http.Response, start time.Time) {
	const maxLine = 1 << 20
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Bytes()
		switch {
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			s.TimeToCompletion = time.Since(start)
		case bytes.HasPrefix(line, []byte("data: ")):
			if s.Tokens == 0 {
				s.TimeToFirstToken = time.Since(start)
			}
			s.Tokens++
		}
	}
}
