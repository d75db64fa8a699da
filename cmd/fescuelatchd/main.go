// Command fescuelatchd is not written yet.
package main

func main() {}
