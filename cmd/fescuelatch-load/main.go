// Command fescuelatch-load is not written yet.
package main

func main() {}
