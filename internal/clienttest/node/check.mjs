// Checks the unmodified openai package against the router whose URL is the first argument. Prints "good" after the last check.
import assert from "node:assert/strict";
import OpenAI from "openai";

const client = new OpenAI({ baseURL: process.argv[2] + "/v1", apiKey: "none", maxRetries: 2 });
const messages = [
  { role: "system", content: "You are a plumber." },
  { role: "user", content: "My pipe is frozen." },
];

const chat = await client.chat.completions.create({ model: "demo-chat", messages, max_tokens: 4 });
assert.equal(chat.choices[0].message.content, "snow on the roof ");
assert.equal(chat.usage.completion_tokens, 4);
assert.match(chat._request_id, /^ml-/);

let text = "", usage = null;
const stream = await client.chat.completions.create({
  model: "demo-chat", messages, max_tokens: 4, stream: true, stream_options: { include_usage: true },
});
for await (const chunk of stream) {
  text += chunk.choices[0]?.delta?.content ?? "";
  usage = chunk.usage ?? usage;
}
assert.equal(text, "snow on the roof ");
assert.equal(usage.completion_tokens, 4);

const completion = await client.completions.create({ model: "demo-chat", prompt: "frozen", max_tokens: 2 });
assert.equal(completion.choices[0].text, "snow on ");

// Without encoding_format the package requests base64 and decodes it.
const input = ["frozen pipe", "warm boiler"];
const fromBase64 = await client.embeddings.create({ model: "demo-embed", input, dimensions: 6 });
const fromFloat = await client.embeddings.create({ model: "demo-embed", input, dimensions: 6, encoding_format: "float" });
assert.equal(fromBase64.data.length, 2);
fromBase64.data.forEach((item, i) => item.embedding.forEach((value, j) =>
  assert.ok(Math.abs(value - fromFloat.data[i].embedding[j]) < 1e-6)));
await client.embeddings.create({ model: "demo-embed", input: [[1, 2], [3]] });

const models = [];
for await (const model of client.models.list()) models.push(model.id);
assert.deepEqual(models, ["demo-chat", "demo-embed", "demo-rerank"]);

await assert.rejects(client.chat.completions.create({ model: "nobody", messages }), OpenAI.NotFoundError);
await assert.rejects(client.chat.completions.create({ model: "demo-chat", messages: [] }), OpenAI.BadRequestError);

// The client aborts a stream after its first chunk.
const abortController = new AbortController();
const abortedStream = await client.chat.completions.create({ model: "demo-chat", messages, stream: true }, { signal: abortController.signal });
for await (const _ of abortedStream) abortController.abort();

console.log("good");
