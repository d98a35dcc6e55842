import {Buffer} from 'node:buffer';

/** Chunks below this size are copied into blocks, since each chunk kept costs memory beside its bytes. Bytes. */
const smallChunkBytes = 4096;
/** Size of the first block and of the largest ones, bytes. A block is about as large as what is already kept. */
const firstBlockBytes = 512;
const maximumBlockBytes = 65_536;

/** Bytes that arrive in chunks of any size, kept in little more memory than they need. */
export class ChunkList {
	private chunks: Buffer[] = [];
	private bytes = 0;
	/** Bytes of the buffers that the chunks are part of. */
	private held = 0;
	/** Block that small chunks are copied into, and the bytes of it in use, which are not among `chunks` yet. */
	private block = Buffer.alloc(0);
	private blockBytes = 0;

	/** Bytes kept. */
	get length(): number {
		return this.bytes;
	}

	/** Memory taken, bytes: a chunk may be a small part of the buffer that it is a view of. */
	get heldBytes(): number {
		return this.held;
	}

	/** Adds a chunk. */
	push(chunk: Buffer): void {
		if (chunk.length < smallChunkBytes) {
			this.copy(chunk);
		} else {
			this.closeBlock();
			this.chunks.push(chunk);
			this.held += chunk.buffer.byteLength;
		}

		this.bytes += chunk.length;
	}

	/** Removes and returns all bytes, in order. */
	take(): Buffer[] {
		this.closeBlock();
		const {chunks} = this;
		this.chunks = [];
		this.bytes = 0;
		// What is left of the block is used on.
		this.held = this.block.length;
		return chunks;
	}

	private copy(chunk: Buffer): void {
		for (let start = 0; start < chunk.length;) {
			if (this.blockBytes === this.block.length) {
				this.closeBlock();
				this.block = Buffer.alloc(Math.min(maximumBlockBytes, Math.max(firstBlockBytes, this.bytes)));
				this.held += this.block.length;
			}

			const copied = chunk.copy(this.block, this.blockBytes, start);
			this.blockBytes += copied;
			start += copied;
		}
	}

	/* Moves what the block holds to `chunks`; the rest of the block is used for the next small chunks. */
	private closeBlock(): void {
		if (this.blockBytes > 0) {
			this.chunks.push(this.block.subarray(0, this.blockBytes));
			this.block = this.block.subarray(this.blockBytes);
			this.blockBytes = 0;
		}
	}
}
