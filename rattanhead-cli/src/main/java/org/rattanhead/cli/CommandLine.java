package org.rattanhead.cli;

import java.io.PrintStream;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

import org.rattanhead.cli.catalogue.CheckCommand;
import org.rattanhead.cli.catalogue.DiffCommand;
import org.rattanhead.cli.catalogue.HistoryCommand;
import org.rattanhead.cli.catalogue.KeyCommand;
import org.rattanhead.cli.catalogue.PublishCommand;
import org.rattanhead.cli.catalogue.ShowCommand;
import org.rattanhead.cli.demo.DemoCommand;
import org.rattanhead.cli.demo.StandinsCommand;
import org.rattanhead.cli.load.LoadCommand;
import org.rattanhead.cli.request.AddressesCommand;
import org.rattanhead.cli.request.AskCommand;
import org.rattanhead.cli.request.StatusCommand;
import org.rattanhead.settings.SettingsException;

/**
 * Parses the arguments of the command and runs the selected subcommand.
 */
public final class CommandLine {

	private static final String COMMAND_NAMES = "demo, ask, load, check, publish, diff, show, history, status, addresses, "
			+ "key, standins";

	@Argument(metaVar = "COMMAND", required = true, usage = COMMAND_NAMES, handler = SubCommandHandler.class)
	@SubCommands({ @SubCommand(name = "demo", impl = DemoCommand.class),
			@SubCommand(name = "ask", impl = AskCommand.class), @SubCommand(name = "load", impl = LoadCommand.class),
			@SubCommand(name = "check", impl = CheckCommand.class),
			@SubCommand(name = "publish", impl = PublishCommand.class),
			@SubCommand(name = "diff", impl = DiffCommand.class), @SubCommand(name = "show", impl = ShowCommand.class),
			@SubCommand(name = "history", impl = HistoryCommand.class),
			@SubCommand(name = "status", impl = StatusCommand.class),
			@SubCommand(name = "addresses", impl = AddressesCommand.class),
			@SubCommand(name = "key", impl = KeyCommand.class),
			@SubCommand(name = "standins", impl = StandinsCommand.class) })
	private Command command;

	/**
	 * Parses and runs a command line.
	 * @param arguments the arguments
	 * @param out where results are written
	 * @param err where progress and errors are written
	 * @return the exit code
	 */
	public ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
		CmdLineParser parser = new CmdLineParser(this);
		try {
			parser.parseArgument(arguments);
			return this.command.run(out, err);
		}
		catch (CmdLineException ex) {
			printUsage(ex, err);
			return ExitCode.USAGE;
		}
		catch (SettingsException ex) {
			err.println(ex.getMessage());
			return ExitCode.USAGE;
		}
		catch (Exception ex) {
			err.println(rootCause(ex).getMessage());
			return ExitCode.FAILED;
		}
	}

	private static void printUsage(CmdLineException failure, PrintStream err) {
		err.println(failure.getMessage() + "; usage: rattanhead COMMAND [options]");
		err.println("Commands: " + COMMAND_NAMES);
		failure.getParser().printUsage(err);
	}

	private static Throwable rootCause(Throwable failure) {
		boolean wrapped = (failure instanceof CompletionException || failure instanceof ExecutionException)
				&& failure.getCause() != null;
		return wrapped ? rootCause(failure.getCause()) : failure;
	}

}
