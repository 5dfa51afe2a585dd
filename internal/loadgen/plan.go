package loadgen

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/engine"
)

// Classes of arrivals.
const (
	ClassInteractive = "interactive"
	ClassLong        = "long"
	ClassCall        = "call"
)

const (
	bytesPerToken = 4
	// maxRepeatDelay bounds the time between a call and its repeat; some
	// repeats overlap the first attempt and some follow it.
	maxRepeatDelay = 300 * time.Millisecond
)

// Arrival is one planned request.
type Arrival struct {
	Number    int
	At        time.Duration // since the start of the load
	Host      int           // index into the population's hosts
	Workspace string
	Class     string
	Deadline  time.Duration

	Request *engine.InferenceRequest // nil for calls

	Service        string // the rest is for calls
	Method         string
	Path           string
	Body           string
	Idempotent     bool
	IdempotencyKey string
	Repeat         bool // the same call was planned before
}

// PromptTokens is the hosts' estimate of the prompt's tokens: a quarter of the
// bytes of the messages as sent.
func (a *Arrival) PromptTokens() int {
	if a.Request == nil {
		return 0
	}
	messages, err := json.Marshal(a.Request.Messages)
	if err != nil {
		return 0 // messages are strings, which always encode
	}
	return (len(messages) + bytesPerToken - 1) / bytesPerToken
}

// Cost is the number of tokens that the request reserves.
func (a *Arrival) Cost() int {
	if a.Request == nil {
		return 0
	}
	return a.PromptTokens() + a.Request.MaxTokens
}

// Plan draws all arrivals of a load in order of time. The same spec,
// population and seed give the same plan. It returns *SpecError.
func Plan(spec *Spec, population *Target, seed uint64) ([]Arrival, error) {
	if err := spec.Validate(population); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, 1))
	duration := time.Duration(spec.DurationMS) * time.Millisecond
	p := &planner{
		spec:       spec,
		population: population,
		random:     random,
		duration:   duration,
		popularity: newPopularity(spec.Popularity, len(population.Models), duration, random),
		prefixes:   map[string][]string{},
	}
	for _, load := range spec.Workspaces {
		p.workspace(load)
	}
	for _, burst := range spec.Bursts {
		p.burst(burst)
	}
	for _, call := range spec.Calls {
		p.calls(call)
	}
	slices.SortStableFunc(p.arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range p.arrivals {
		p.arrivals[i].Number = i
	}
	return p.arrivals, nil
}

type planner struct {
	spec       *Spec
	population *Target
	random     *rand.Rand
	duration   time.Duration
	popularity *popularity
	prefixes   map[string][]string // by workspace
	texts      int                 // unique texts drawn
	arrivals   []Arrival
}

func (p *planner) workspace(load WorkspaceLoad) {
	cost := (1-load.LongShare)*p.spec.Interactive.meanCost() + load.LongShare*p.spec.Long.meanCost()
	perS := load.RateFactor * p.population.Workspaces[load.Workspace].RateTokensPerS / cost
	until := p.duration
	if load.UntilMS > 0 {
		until = time.Duration(load.UntilMS) * time.Millisecond
	}
	from := time.Duration(load.FromMS) * time.Millisecond
	p.poisson(from, until, perS, func(at time.Duration) {
		host := 0
		if !load.OneHost {
			host = p.random.IntN(len(p.population.Hosts))
		}
		class := ClassInteractive
		if p.random.Float64() < load.LongShare {
			class = ClassLong
		}
		p.request(at, host, load.Workspace, class, p.popularity.draw(at))
	})
}

// poisson visits arrival times with exponential gaps.
func (p *planner) poisson(from, until time.Duration, perS float64, visit func(time.Duration)) {
	if perS <= 0 {
		return
	}
	at := from
	for {
		at += time.Duration(p.random.ExpFloat64() / perS * float64(time.Second))
		if at >= until {
			return
		}
		visit(at)
	}
}

func (p *planner) burst(burst Burst) {
	at := time.Duration(burst.AtMS) * time.Millisecond
	for _, model := range p.popularity.cold(at, burst.Models) {
		for host := range p.population.Hosts {
			for range burst.RequestsPerHost {
				p.request(at, host, burst.Workspace, ClassInteractive, model)
			}
		}
	}
}

func (p *planner) request(at time.Duration, host int, workspace, name string, model int) {
	class := p.spec.Interactive
	if name == ClassLong {
		class = p.spec.Long
	}
	maxTokens := p.between(class.MinMaxTokens, class.MaxMaxTokens)
	share := class.MinCompletionShare + p.random.Float64()*(1-class.MinCompletionShare)
	length := max(int(share*float64(maxTokens)), 1)
	prompt := p.prompt(workspace, p.between(class.MinPromptTokens, class.MaxPromptTokens), length)
	p.arrivals = append(p.arrivals, Arrival{
		At:        at,
		Host:      host,
		Workspace: workspace,
		Class:     name,
		Deadline:  time.Duration(class.DeadlineMS) * time.Millisecond,
		Request: &engine.InferenceRequest{
			Model:     p.population.Models[model],
			Messages:  []engine.Message{{Role: "user", Content: prompt}},
			MaxTokens: maxTokens,
			Stream:    p.random.Float64() < class.StreamShare,
		},
	})
}

// between draws uniformly from low to high, both included.
func (p *planner) between(low, high int) int { return low + p.random.IntN(high-low+1) }

// prompt composes an optional shared prefix, a unique text and the marker that
// sets the length of the stand-in's answer.
func (p *planner) prompt(workspace string, tokens, answerTokens int) string {
	p.texts++
	unique := fmt.Sprintf("request %d %s ", p.texts, standin.LengthMarker(answerTokens))
	prefix := ""
	if shared := p.spec.Prefixes; shared.PerWorkspace > 0 && p.random.Float64() < shared.Share {
		prefix = p.prefix(workspace, p.random.IntN(shared.PerWorkspace))
	}
	filler := tokens*bytesPerToken - len(prefix) - len(unique)
	return prefix + unique + p.words(max(filler, 0))
}

func (p *planner) prefix(workspace string, i int) string {
	for len(p.prefixes[workspace]) <= i {
		text := fmt.Sprintf("instructions %d for %s ", len(p.prefixes[workspace]), workspace)
		text += p.words(p.spec.Prefixes.Tokens*bytesPerToken - len(text))
		p.prefixes[workspace] = append(p.prefixes[workspace], text)
	}
	return p.prefixes[workspace][i]
}

// words returns random text of a length in bytes.
func (p *planner) words(length int) string {
	var text strings.Builder
	for text.Len() < length {
		fmt.Fprintf(&text, "%03x ", p.random.IntN(1<<12))
	}
	return text.String()[:max(length, 0)]
}

func (p *planner) calls(load CallLoad) {
	p.poisson(0, p.duration, load.PerS, func(at time.Duration) {
		p.texts++
		call := Arrival{
			At:         at,
			Host:       p.random.IntN(len(p.population.Hosts)),
			Workspace:  load.Workspace,
			Class:      ClassCall,
			Deadline:   time.Duration(load.DeadlineMS) * time.Millisecond,
			Service:    load.Service,
			Method:     load.Method,
			Path:       load.Path,
			Body:       fmt.Sprintf("call %d", p.texts),
			Idempotent: load.Idempotent,
		}
		if !load.Idempotent {
			call.IdempotencyKey = fmt.Sprintf("key-%d-%016x", p.texts, p.random.Uint64())
		}
		p.arrivals = append(p.arrivals, call)
		if p.random.Float64() < load.RepeatShare {
			p.arrivals = append(p.arrivals, p.repeat(call))
		}
	})
}

func (p *planner) repeat(call Arrival) Arrival {
	call.At += time.Duration(p.random.Int64N(int64(maxRepeatDelay)))
	call.Host = p.random.IntN(len(p.population.Hosts))
	call.Repeat = true
	return call
}
