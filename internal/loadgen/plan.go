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

// Request classes.
const (
	ClassInteractive = "interactive"
	ClassLong        = "long"
	ClassCall        = "call"
)

const (
	bytesPerToken = 4
	// maxRepeatDelay is the longest delay between a call and its repeat. Some
	// repeats overlap the first attempt, others follow it.
	maxRepeatDelay = 300 * time.Millisecond
)

// Arrival is one planned request.
type Arrival struct {
	Number    int
	At        time.Duration // since the start of the load
	Host      int           // index into Target.Hosts
	Workspace string
	Class     string
	Deadline  time.Duration

	Request *engine.InferenceRequest // nil for calls

	// The remaining fields are set for calls only.
	Service        string
	Method         string
	Path           string
	Body           string
	Idempotent     bool
	IdempotencyKey string
	Repeat         bool // resends an earlier call
}

// PromptTokens estimates the prompt length in tokens as the hosts do: the size
// of the encoded messages in bytes divided by 4, rounded up.
func (a *Arrival) PromptTokens() int {
	if a.Request == nil {
		return 0
	}
	messages, err := json.Marshal(a.Request.Messages)
	if err != nil {
		return 0 // cannot happen: messages contain only strings
	}
	return (len(messages) + bytesPerToken - 1) / bytesPerToken
}

// Cost returns the number of tokens that the request reserves: the estimated
// prompt tokens plus max_tokens. It is 0 for calls.
func (a *Arrival) Cost() int {
	if a.Request == nil {
		return 0
	}
	return a.PromptTokens() + a.Request.MaxTokens
}

// Plan generates all arrivals of a load in order of time. It is deterministic
// for a given spec, target and seed. Errors are *SpecError.
func Plan(spec *Spec, target *Target, seed uint64) ([]Arrival, error) {
	if err := spec.Validate(target); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, 1))
	duration := time.Duration(spec.DurationMS) * time.Millisecond
	p := &planner{
		spec:       spec,
		target:     target,
		random:     random,
		duration:   duration,
		popularity: newPopularity(spec.Popularity, len(target.Models), duration, random),
		prefixes:   map[string][]string{},
	}
	for _, load := range spec.Workspaces {
		p.planWorkspace(load)
	}
	for _, burst := range spec.Bursts {
		p.planBurst(burst)
	}
	for _, call := range spec.Calls {
		p.planCalls(call)
	}
	slices.SortStableFunc(p.arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range p.arrivals {
		p.arrivals[i].Number = i
	}
	return p.arrivals, nil
}

type planner struct {
	spec       *Spec
	target     *Target
	random     *rand.Rand
	duration   time.Duration
	popularity *popularity
	prefixes   map[string][]string // by workspace
	textCount  int                 // number of unique prompts and call bodies generated
	arrivals   []Arrival
}

func (p *planner) planWorkspace(load WorkspaceLoad) {
	cost := (1-load.LongShare)*p.spec.Interactive.meanReservedTokens() + load.LongShare*p.spec.Long.meanReservedTokens()
	perS := load.RateFactor * p.target.Workspaces[load.Workspace].RateTokensPerS / cost
	until := p.duration
	if load.UntilMS > 0 {
		until = time.Duration(load.UntilMS) * time.Millisecond
	}
	from := time.Duration(load.FromMS) * time.Millisecond
	p.poissonArrivals(from, until, perS, func(at time.Duration) {
		host := 0
		if !load.OneHost {
			host = p.random.IntN(len(p.target.Hosts))
		}
		class := ClassInteractive
		if p.random.Float64() < load.LongShare {
			class = ClassLong
		}
		p.addRequest(at, host, load.Workspace, class, p.popularity.draw(at))
	})
}

// poissonArrivals calls visit for each arrival time of a Poisson process with
// rate perS, in arrivals per second.
func (p *planner) poissonArrivals(from, until time.Duration, perS float64, visit func(time.Duration)) {
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

func (p *planner) planBurst(burst Burst) {
	at := time.Duration(burst.AtMS) * time.Millisecond
	for _, model := range p.popularity.leastPopularInactive(at, burst.Models) {
		for host := range p.target.Hosts {
			for range burst.RequestsPerHost {
				p.addRequest(at, host, burst.Workspace, ClassInteractive, model)
			}
		}
	}
}

func (p *planner) addRequest(at time.Duration, host int, workspace, name string, model int) {
	class := p.spec.Interactive
	if name == ClassLong {
		class = p.spec.Long
	}
	maxTokens := p.uniform(class.MinMaxTokens, class.MaxMaxTokens)
	share := class.MinCompletionShare + p.random.Float64()*(1-class.MinCompletionShare)
	length := max(int(share*float64(maxTokens)), 1)
	prompt := p.prompt(workspace, p.uniform(class.MinPromptTokens, class.MaxPromptTokens), length)
	p.arrivals = append(p.arrivals, Arrival{
		At:        at,
		Host:      host,
		Workspace: workspace,
		Class:     name,
		Deadline:  time.Duration(class.DeadlineMS) * time.Millisecond,
		Request: &engine.InferenceRequest{
			Model:     p.target.Models[model],
			Messages:  []engine.Message{{Role: "user", Content: prompt}},
			MaxTokens: maxTokens,
			Stream:    p.random.Float64() < class.StreamShare,
		},
	})
}

// uniform returns a uniformly distributed integer in [low, high].
func (p *planner) uniform(low, high int) int { return low + p.random.IntN(high-low+1) }

// prompt builds a prompt from an optional shared prefix, a unique text with the
// marker that sets the stand-in's completion length, and random filler.
func (p *planner) prompt(workspace string, tokens, completionTokens int) string {
	p.textCount++
	unique := fmt.Sprintf("request %d %s ", p.textCount, standin.LengthMarker(completionTokens))
	prefix := ""
	if shared := p.spec.Prefixes; shared.PerWorkspace > 0 && p.random.Float64() < shared.Share {
		prefix = p.prefix(workspace, p.random.IntN(shared.PerWorkspace))
	}
	filler := tokens*bytesPerToken - len(prefix) - len(unique)
	return prefix + unique + p.randomText(max(filler, 0))
}

func (p *planner) prefix(workspace string, i int) string {
	for len(p.prefixes[workspace]) <= i {
		text := fmt.Sprintf("instructions %d for %s ", len(p.prefixes[workspace]), workspace)
		text += p.randomText(p.spec.Prefixes.Tokens*bytesPerToken - len(text))
		p.prefixes[workspace] = append(p.prefixes[workspace], text)
	}
	return p.prefixes[workspace][i]
}

// randomText returns length bytes of random text.
func (p *planner) randomText(length int) string {
	var text strings.Builder
	for text.Len() < length {
		fmt.Fprintf(&text, "%03x ", p.random.IntN(1<<12))
	}
	return text.String()[:max(length, 0)]
}

func (p *planner) planCalls(load CallLoad) {
	p.poissonArrivals(0, p.duration, load.PerS, func(at time.Duration) {
		p.textCount++
		call := Arrival{
			At:         at,
			Host:       p.random.IntN(len(p.target.Hosts)),
			Workspace:  load.Workspace,
			Class:      ClassCall,
			Deadline:   time.Duration(load.DeadlineMS) * time.Millisecond,
			Service:    load.Service,
			Method:     load.Method,
			Path:       load.Path,
			Body:       fmt.Sprintf("call %d", p.textCount),
			Idempotent: load.Idempotent,
		}
		if !load.Idempotent {
			call.IdempotencyKey = fmt.Sprintf("key-%d-%016x", p.textCount, p.random.Uint64())
		}
		p.arrivals = append(p.arrivals, call)
		if p.random.Float64() < load.RepeatShare {
			p.arrivals = append(p.arrivals, p.repeatCall(call))
		}
	})
}

func (p *planner) repeatCall(call Arrival) Arrival {
	call.At += time.Duration(p.random.Int64N(int64(maxRepeatDelay)))
	call.Host = p.random.IntN(len(p.target.Hosts))
	call.Repeat = true
	return call
}
