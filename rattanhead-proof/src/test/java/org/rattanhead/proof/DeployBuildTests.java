package org.rattanhead.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs {@code deploy/build} with stand-ins for Maven and for the virtual machine, which
 * writes its archive also when the rehearsal fails.
 */
class DeployBuildTests {

	private static final String MAVEN = """
			#!/bin/sh
			echo "start build" >>events
			sleep 0.2
			mkdir -p target
			echo jar >target/rattanheadd.jar
			echo "end build" >>events
			""";

	/** Fails as often as the file "failures" has lines. */
	private static final String JAVA = """
			#!/bin/sh
			for argument; do
				case "$argument" in
				-XX:ArchiveClassesAtExit=*) archive="${argument#*=}" ;;
				target/rehearsal.ini) grep callers "$argument" >>events ;;
				esac
			done
			[ -e target/rattanheadd.jsa ] && echo "archive before the end" >>events
			echo incomplete >"$archive"
			sleep 0.2
			if [ -s failures ]; then
				sed -i 1d failures
				exit 1
			fi
			echo complete >"$archive"
			""";

	@TempDir
	private Path folder;

	/**
	 * Guards against builds of one checkout that meet and leave an incomplete archive.
	 */
	@ParameterizedTest(name = "{0} builds at once")
	@ValueSource(ints = { 2, 3 })
	void buildsOfOneCheckoutRunOneAfterTheOther(int builds) throws Exception {
		prepare(0);
		List<Process> processes = new ArrayList<>();
		for (int build = 0; build < builds; build++) {
			processes.add(build("out" + build));
		}
		for (Process process : processes) {
			assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
			assertThat(process.exitValue()).isZero();
		}
		List<String> events = Files.readAllLines(this.folder.resolve("events"));
		assertThat(events).hasSize(3 * builds).doesNotContain("archive before the end");
		for (int build = 0; build < builds; build++) {
			assertThat(events.subList(3 * build, 3 * build + 2)).containsExactly("start build", "end build");
		}
		assertThat(archive()).hasContent("complete");
		List<String> waiting = new ArrayList<>();
		for (int build = 0; build < builds; build++) {
			waiting.addAll(Files.readAllLines(this.folder.resolve("out" + build)));
		}
		assertThat(waiting).hasSize(builds - 1).allMatch((line) -> line.contains("waiting for it to end"));
	}

	/**
	 * Guards against the archive of a failed rehearsal, which holds a part of the
	 * classes, and against an archive of an older build.
	 */
	@ParameterizedTest(name = "{0} failed rehearsals")
	@CsvSource({ "0, true", "1, true", "2, true", "3, false" })
	void archiveAppearsOnlyAfterACompleteRehearsal(int failures, boolean expected) throws Exception {
		prepare(failures);
		Files.createDirectory(this.folder.resolve("target"));
		Files.writeString(archive(), "older");
		Process process = build("out");
		assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
		assertThat(process.exitValue()).isZero();
		assertThat(Files.exists(archive())).isEqualTo(expected);
		assertThat(this.folder.resolve("target/rattanheadd.jsa.part")).doesNotExist();
		String output = Files.readString(this.folder.resolve("out"));
		assertThat(output.lines().filter((line) -> line.startsWith("Rehearsal"))).hasSize(failures);
		assertThat(output.contains("No class archive")).isEqualTo(!expected);
		if (expected) {
			assertThat(archive()).hasContent("complete");
		}
	}

	/**
	 * Guards against rehearsals of two checkouts that meet on the same ports.
	 */
	@ParameterizedTest(name = "{0} rehearsals")
	@ValueSource(ints = 3)
	void rehearsalsUseDifferentPorts(int rehearsals) throws Exception {
		prepare(rehearsals - 1);
		assertThat(build("out").waitFor(20, TimeUnit.SECONDS)).isTrue();
		List<String> ports = Files.readAllLines(this.folder.resolve("events"))
			.stream()
			.filter((line) -> line.startsWith("callers"))
			.toList();
		assertThat(ports).hasSize(rehearsals).allMatch((line) -> line.matches("callers = 127\\.0\\.0\\.1:[12]\\d{4}"));
		// Two of three may be equal by chance, once in about 600 runs.
		assertThat(ports.stream().distinct().count()).isGreaterThan(1);
	}

	private Path archive() {
		return this.folder.resolve("target/rattanheadd.jsa");
	}

	private void prepare(int failures) throws IOException {
		Path source = Path.of("..", "deploy");
		Path deploy = Files.createDirectory(this.folder.resolve("deploy"));
		Files.copy(source.resolve("build"), deploy.resolve("build"));
		Files.copy(source.resolve("rehearsal.ini"), deploy.resolve("rehearsal.ini"));
		Path tools = Files.createDirectory(this.folder.resolve("tools"));
		executable(tools.resolve("mvn"), MAVEN);
		executable(tools.resolve("java"), JAVA);
		Files.writeString(this.folder.resolve("failures"), "failure\n".repeat(failures));
	}

	private static void executable(Path file, String text) throws IOException {
		Files.writeString(file, text);
		assertThat(file.toFile().setExecutable(true)).isTrue();
	}

	private Process build(String output) throws IOException {
		ProcessBuilder builder = new ProcessBuilder("bash", "deploy/build").directory(this.folder.toFile())
			.redirectErrorStream(true)
			.redirectOutput(this.folder.resolve(output).toFile());
		builder.environment()
			.merge("PATH", this.folder.resolve("tools").toString(), (path, tools) -> tools + ":" + path);
		return builder.start();
	}

}
