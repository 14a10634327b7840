package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/balsamstall/balsamstall/coordination/admission"
)

func Example() {
	settings := admission.DefaultSettings()
	settings.MinLimit, settings.InitialLimit = 1, 1
	controller := admission.New(settings)
	rng := rand.New(rand.NewPCG(1, 2))
	counter := controller.SetService("counter", admission.ServiceConfig{Priority: 1, MaxConcurrency: 8, MaxQueue: 8})

	now, deadline := time.Duration(0), 100*time.Millisecond
	first := &admission.Ticket{Owner: "first"}
	second := &admission.Ticket{Owner: "second"}
	fmt.Println(controller.Submit(now, rng, counter, deadline, first).Verdict)
	fmt.Println(controller.Submit(now, rng, counter, deadline, second).Verdict)

	now = 20 * time.Millisecond
	controller.Release(now, first, admission.Finished)
	for ticket, decision := controller.Next(now, rng); ticket != nil; ticket, decision = controller.Next(now, rng) {
		fmt.Println(ticket.Owner, decision.Verdict)
	}
	// Output:
	// admit
	// wait
	// second admit
}
