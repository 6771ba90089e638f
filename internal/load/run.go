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

// maxAnswer bounds how long one answer is waited for.
const maxAnswer = 2 * time.Minute

// Config says where load goes.
type Config struct {
	Plan Plan
	Seed uint64
	// Entries are base addresses of entries; requests take them in turn.
	Entries []string
	// HTTP sends; nil means http.DefaultClient.
	HTTP *http.Client
}

// Sample is one request and what became of it.
type Sample struct {
	Arrival Arrival
	// TimeToFirstToken and Whole are the times to the first byte and the whole answer; Whole is 0 without one.
	TimeToFirstToken time.Duration
	TimeToCompletion time.Duration
	// Tokens counts the parts that came.
	Tokens ident.Tokens
	// RefusalCode is the code of a refusal, NotRun what it said.
	RefusalCode api.Code
	NotRun      bool
}

// MetTarget reports whether the whole answer came and its first byte in time.
func (s Sample) MetTarget() bool {
	return s.TimeToCompletion > 0 && s.TimeToFirstToken <= time.Duration(s.Arrival.Class.FirstTokenMS)*time.Millisecond
}

// Run sends the plan's requests at their times, whatever became of earlier ones, and waits for all answers.
func Run(ctx context.Context, config Config) []Sample {
	if config.HTTP == nil {
		config.HTTP = http.DefaultClient
	}
	arrivals := config.Plan.Arrivals(config.Seed)
	samples := make([]Sample, len(arrivals))
	var open sync.WaitGroup
	start := time.Now()
	for index, arrival := range arrivals {
		select {
		case <-time.After(time.Until(start.Add(arrival.At))):
		case <-ctx.Done():
			open.Wait()
			return samples[:index]
		}
		open.Go(func() { samples[index] = send(ctx, config, index, arrival) })
	}
	open.Wait()
	return samples
}

func send(ctx context.Context, config Config, index int, arrival Arrival) Sample {
	ctx, cancel := context.WithTimeout(ctx, maxAnswer)
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
	sample.read(response, start)
	return sample
}

// read takes the answer's events.
func (s *Sample) read(response *http.Response, start time.Time) {
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
