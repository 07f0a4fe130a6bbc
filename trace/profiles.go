package trace

// Tiers of the examples' rules.
const (
	interactive = "interactive"
	standard    = "standard"
	batch       = "batch"
)

// Deadlines in milliseconds for the first token, or for the answer to a call.
const (
	guestDeadline = 3_000
	staffDeadline = 15_000
	batchDeadline = 60_000
	callDeadline  = 2_000
)

// Drumlin returns the mix of examples/drumlin: guests' chats, itineraries,
// emails, reports, availability lookups and bookings.
func Drumlin() Profile {
	const engine, app = "herd-llm", "paddock-app"
	return Profile{Name: "drumlin", Classes: []Class{
		chat(40, "guests", interactive, engine, "trail-chat", guestDeadline, 20, 200, LengthDistribution{120, 0.8}, LengthDistribution{60, 0.6}),
		chat(6, "farmers", standard, engine, "trail-guide", staffDeadline, 10, 600, LengthDistribution{1500, 0.6}, LengthDistribution{300, 0.5}),
		chat(18, "email-desk", standard, engine, "trail-chat", staffDeadline, 1, 150, LengthDistribution{60, 0.7}, LengthDistribution{8, 0.3}),
		chat(4, "reports", batch, engine, "trail-guide", batchDeadline, 0, 0, LengthDistribution{2500, 0.5}, LengthDistribution{400, 0.4}),
		call(22, "bookings", app, "GET", "/availability", 0, 0),
		call(8, "bookings", app, "POST", "/bookings", 400, 0.05),
		call(2, "bookings", app, "POST", "/refunds", 200, 0.05),
	}}
}

// Kowhai returns the mix of examples/kowhai: subscribers' chats, label
// blurbs, tasting notes, order lookups, charges and dispatches.
func Kowhai() Profile {
	const engine, app = "primrose-pool", "orders-app"
	return Profile{Name: "kowhai", Classes: []Class{
		chat(38, "subscribers", interactive, engine, "medlar-chat", guestDeadline, 8, 400, LengthDistribution{100, 0.8}, LengthDistribution{80, 0.6}),
		chat(12, "packing-shed", standard, engine, "medlar-label", staffDeadline, 4, 300, LengthDistribution{40, 0.4}, LengthDistribution{60, 0.3}),
		chat(5, "tasting-notes", batch, engine, "medlar-chat", batchDeadline, 1, 800, LengthDistribution{1200, 0.6}, LengthDistribution{350, 0.4}),
		call(28, "courier-desk", app, "GET", "/orders", 0, 0),
		call(9, "courier-desk", app, "POST", "/dispatches", 300, 0.05),
		call(8, "shop", app, "POST", "/charges", 250, 0.05),
	}}
}

func chat(weight float64, team, tier, service, model string, deadline int64, prefixes, prefixTokens int, prompt, output LengthDistribution) Class {
	return Class{
		Weight:       weight,
		Request:      Request{Kind: KindChat, Team: team, Tier: tier, Service: service, Model: model, Deadline: deadline, Stream: true},
		Prompt:       prompt,
		Output:       output,
		Prefixes:     prefixes,
		PrefixTokens: prefixTokens,
	}
}

func call(weight float64, team, service, method, path string, bodyBytes int, retryShare float64) Class {
	return Class{
		Weight: weight,
		Request: Request{Kind: KindCall, Keyed: method != "GET", Team: team, Tier: interactive, Service: service, Deadline: callDeadline,
			Method: method, Path: path, BodyBytes: bodyBytes},
		RetryShare: retryShare,
	}
}

// Profiles returns the profiles that primrosectl load offers.
func Profiles() []Profile {
	return []Profile{Drumlin(), Kowhai()}
}
