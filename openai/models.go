package openai

// This file defines the list of models.

// Model is an entry of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the list of models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
