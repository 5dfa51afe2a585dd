package coordinator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// randomInput returns an input in which no engine holds more than fits.
func randomInput(seed uint64) PlanInput {
	random := rand.New(rand.NewPCG(seed, 1))
	service := testService(20)
	var engines []*Engine
	for i := range 1 + random.IntN(8) {
		engine := testEngine(fmt.Sprintf("e%d", i))
		for range random.IntN(4) {
			model := fmt.Sprintf("m%d", random.IntN(20))
			engine.Holdings.Models[model] = nil
			engine.Holdings.OnDisk = append(engine.Holdings.OnDisk, model)
			if random.IntN(3) == 0 {
				engine.Running[model] = random.IntN(5)
			}
		}
		if len(engine.Holdings.Models) < 3 && random.IntN(4) == 0 {
			engine.Reserved = []string{fmt.Sprintf("m%d", random.IntN(20))}
		}
		engine.Occupied = random.IntN(4) == 0
		engine.Draining = random.IntN(6) == 0
		engines = append(engines, engine)
	}
	input := testInput(service, engines...)
	input.Prefetch = random.IntN(2) == 0
	for i := range 20 {
		if random.IntN(2) == 0 {
			input.Demand[fmt.Sprintf("m%d", i)] = &Demand{
				Rate: random.Float64() * 6, Waiting: random.IntN(3), Running: random.IntN(30),
				LastSeen: testNow - time.Duration(random.IntN(5))*time.Second,
			}
		}
	}
	return input
}
