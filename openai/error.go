package openai

// This file defines error answers.

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error ErrorObject `json:"error"`
}

// ErrorObject describes an error to a caller.
type ErrorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}
